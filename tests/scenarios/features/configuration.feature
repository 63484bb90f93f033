Feature: Configuration under failure

  Background:
    Given a cell of 3 failure domains with 2 entry VMs, 1 service instance and 1 worker each

  Scenario: operators race each other
    When 5 operators submit changes against the same revision at once
    And 13 seconds pass
    Then one operator has won and the others were told of a conflict
    And the same revision is in force at every running entry VM

  Scenario: the answer to a submission is lost
    When the platform loses its answers
    And an operator submits a change through entry VM "a1"
    And the platform is well again
    And 18 seconds pass
    Then the same revision is in force at every running entry VM
    And what must always hold has held

  Scenario: an entry VM is restarted in an outage, cut off or not
    When an operator submits a change through entry VM "b2"
    And 13 seconds pass
    And the platform is out
    And entry VM "c1" is restarted
    And entry VM "a1" is restarted
    And 10 seconds pass
    Then the same revision is in force at every running entry VM
    And what must always hold has held
