Feature: Requests while the platform fails

  Background:
    Given a cell of 3 failure domains with 2 entry VMs, 2 service instances and 2 workers each

  Scenario: the platform is out for minutes
    When 5000 normal requests come in within 300 seconds
    And 300 keyed requests come in within 300 seconds, each through 2 entry VMs
    And 20 seconds pass
    And the platform is out
    And 240 seconds pass
    And the platform is well again
    And 60 seconds pass
    Then what must always hold has held
    And every request was answered
    And at least 90 percent of the requests ran

  Scenario: the platform loses its answers
    When 500 keyed requests come in within 60 seconds, each through 2 entry VMs
    And 10 seconds pass
    And the platform loses its answers
    And 15 seconds pass
    And the platform is well again
    And 60 seconds pass
    Then what must always hold has held

  Scenario: an entry VM dies while the platform is out, and another is restarted
    When 3000 normal requests come in within 200 seconds
    And 200 keyed requests come in within 200 seconds, each through 2 entry VMs
    And 10 seconds pass
    And the platform is out
    And 20 seconds pass
    And entry VM "a1" is killed
    And entry VM "b1" is restarted
    And 100 seconds pass
    And the platform is well again
    And 100 seconds pass
    Then what must always hold has held
