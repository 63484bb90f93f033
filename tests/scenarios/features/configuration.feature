Feature: Configuration under failure

  Background:
    Given a cell of 3 failure domains with 2 entry VMs, 1 service instance and 1 worker each

  Scenario: operators submit changes at the same time
    When 5 operators submit changes against the same revision at once
    And 13 seconds pass
    Then one operator has succeeded and the others got a conflict
    And the same revision is in force at every running entry VM

  Scenario: the answer to a submission is lost
    When the answers of the platform are lost
    And an operator submits a change through entry VM "a1"
    And the platform recovers
    And 18 seconds pass
    Then the same revision is in force at every running entry VM
    And all invariants hold

  Scenario: entry VMs are restarted during an outage of the platform
    When an operator submits a change through entry VM "b2"
    And 13 seconds pass
    And the platform is unavailable
    And entry VM "c1" is restarted
    And entry VM "a1" is restarted
    And 10 seconds pass
    Then the same revision is in force at every running entry VM
    And all invariants hold
