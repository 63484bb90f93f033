Feature: Jobs under failure

  Background:
    Given a cell of 2 failure domains with 2 entry VMs, 1 service instance and 3 workers each

  Scenario: the placer is killed while jobs run
    When 10 batch jobs of 20 tasks with 2 cpus for 10 seconds come in
    And 2 gang jobs of 6 tasks with 4 cpus for 10 seconds come in
    And 8 seconds pass
    And the placer of failure domain "a" is killed
    And 30 seconds pass
    And entry VM "a1" is restarted
    Then every accepted job is done
    And all invariants hold

  Scenario: the placer is frozen past its lease and resumes
    When 10 batch jobs of 20 tasks with 2 cpus for 10 seconds come in
    And 6 seconds pass
    And the placer of failure domain "a" is frozen
    And 30 seconds pass
    And every frozen entry VM resumes
    Then every accepted job is done
    And all invariants hold

  Scenario: every entry VM is lost at once
    When 6 batch jobs of 30 tasks with 2 cpus for 20 seconds come in
    And 15 seconds pass
    And every entry VM is killed
    And 30 seconds pass
    And every entry VM is restarted
    Then every accepted job is done
    And all invariants hold

  Scenario: a worker is lost and another fails every task
    When 8 batch jobs of 20 tasks with 2 cpus for 5 seconds come in
    And worker "worker-a1" fails every task
    And 4 seconds pass
    And worker "worker-b1" is lost
    Then every accepted job is done
    And all invariants hold

  Scenario: the platform is unavailable while jobs run
    When 8 batch jobs of 20 tasks with 2 cpus for 10 seconds come in
    And 5 seconds pass
    And the platform is unavailable
    And 180 seconds pass
    And the platform recovers
    Then every accepted job is done
    And all invariants hold

  Scenario: many jobs are cancelled while the placer is killed
    When 200 batch jobs of 10 tasks with 1 cpus for 5 seconds come in
    And 10 seconds pass
    And every second job is cancelled
    And the placer of failure domain "b" is killed
    And 30 seconds pass
    Then every job that was not cancelled is done
    And all invariants hold
