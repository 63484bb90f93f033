Feature: Requests while the platform fails

  Background:
    Given a cell of 3 failure domains with 2 entry VMs, 2 service instances and 2 workers each

  Scenario: the platform is unavailable for minutes
    When 5000 normal requests come in within 300 seconds
    And 300 keyed requests come in within 300 seconds, each through 2 entry VMs
    And 20 seconds pass
    And the platform is unavailable
    And 240 seconds pass
    And the platform recovers
    And 60 seconds pass
    Then all invariants hold
    And every request was answered
    And at least 90 percent of the requests ran

  Scenario: the answers of the platform are lost
    When 500 keyed requests come in within 60 seconds, each through 2 entry VMs
    And 10 seconds pass
    And the answers of the platform are lost
    And 15 seconds pass
    And the platform recovers
    And 60 seconds pass
    Then all invariants hold

  Scenario: an entry VM is killed while the platform is unavailable, and another is restarted
    When 3000 normal requests come in within 200 seconds
    And 200 keyed requests come in within 200 seconds, each through 2 entry VMs
    And 10 seconds pass
    And the platform is unavailable
    And 20 seconds pass
    And entry VM "a1" is killed
    And entry VM "b1" is restarted
    And 100 seconds pass
    And the platform recovers
    And 100 seconds pass
    Then all invariants hold
