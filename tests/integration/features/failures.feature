Feature: What must always hold, held under failure
  Nodes are separate processes over three zones; back ends and platform are emulated.

  Scenario: A planned stop cuts nothing
    Given a fleet of 4 nodes
    When streams run through a node while it gets SIGTERM
    Then every stream was whole
    And the node exited with code 0

  Scenario: A node keeps the process rules
    Given a fleet of 4 nodes
    When online and batch traffic went through all nodes
    Then no node has child processes, io_uring or shared memory

  Scenario: The journal's leader is killed in a storm of resent effects
    Given a fleet of 4 nodes
    When effects are resent through all nodes while the busiest leader is killed
    Then every effect happened at most once
    And every effect is completed or its answer says what is known
    And a killed node that starts again takes part again

  Scenario: A node with items in flight is killed
    Given a fleet of 4 nodes
    When a batch job runs while a node with items in flight is killed
    Then every item completed exactly once with its own answer

  Scenario: A disk is lost after its acknowledgements
    Given a fleet of 4 nodes
    When a batch job runs while a node is killed and its disk is lost
    Then every item completed exactly once with its own answer
    And the new disk became a replica of every shard

  Scenario: A node that starts with an emptied disk denies no job
    Given a fleet of 4 nodes
    When a batch job is done and each disk is lost in turn
    Then no node with a new disk denied the job

  Scenario: The leader is frozen past its lease
    Given a fleet of 4 nodes
    When effects are resent through all nodes while the busiest leader is frozen
    Then every effect happened at most once
    And every effect is completed or its answer says what is known

  Scenario: The key-value service is down through a whole job
    Given a fleet of 4 nodes
    When the key-value service goes down and the busiest leader is killed
    And a batch job runs
    Then every item completed exactly once with its own answer
    And a configuration change is refused as not run and says why
    And the change is accepted once the service is back

  Scenario: An answer of the key-value service is lost after the change took effect
    Given a fleet of 4 nodes
    When the answer to a configuration change is lost
    Then the change is reported accepted at one revision
    And it is in force on every node

  Scenario: Two operators race
    Given a fleet of 4 nodes
    When two operators change the same deployment from the same revision
    Then one is accepted and the other learns what changed

  Scenario: A back end leaves
    Given a fleet of 4 nodes
    When the machine list says that an engine is leaving
    Then the engine gets no new work after 3 seconds

  Scenario: The main job on nine processes
    Given a fleet of 9 nodes
    When the main job runs
    Then every promise was kept

  Scenario: Links between nodes lose, repeat and delay
    Given a proxied fleet of 4 nodes
    When every link is bad and effects are resent through all nodes
    Then every effect happened at most once
    And every effect is completed or its answer says what is known

  Scenario: A batch job over bad links
    Given a proxied fleet of 4 nodes
    When every link is bad and a batch job runs
    Then every item completed exactly once with its own answer

  Scenario: The leader is cut off from what its peers send
    Given a proxied fleet of 4 nodes
    When effects are resent through all nodes while the busiest leader is cut off
    Then every effect happened at most once
    And every effect is completed or its answer says what is known
    And after the cut a configuration change is in force on every node

  Scenario: Two disks are lost after their acknowledgements
    Given a fleet of 4 nodes
    When a batch job and effects are done and then two disks are lost
    And the operator recovers the journal from the survivor
    Then every item completed exactly once with its own answer
    And every effect happened at most once
    And every effect is replayed from the journal
    And the new disk became a replica of every shard
