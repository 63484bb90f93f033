Feature: Requests while processes fail

  Background:
    Given a cell of 3 failure domains with 2 entry VMs, 2 service instances and 2 workers each

  Scenario: nothing fails
    When 600 urgent requests come in within 10 seconds
    And 300 keyed requests come in within 10 seconds, each through 2 entry VMs
    And 20 seconds pass
    Then all invariants hold
    And every request was answered
    And at least 99 percent of the requests ran

  Scenario: an entry VM is killed under load and restarted
    When every service instance is 25 times slower
    And 2000 normal requests come in within 20 seconds
    And 400 keyed requests come in within 20 seconds, each through 2 entry VMs
    And 5 seconds pass
    And entry VM "a1" is killed
    And 5 seconds pass
    And entry VM "a1" is restarted
    And 60 seconds pass
    Then all invariants hold

  Scenario: an entry VM is frozen past its lease and resumes
    When every service instance is 25 times slower
    And 3000 normal requests come in within 30 seconds
    And 400 keyed requests come in within 30 seconds, each through 2 entry VMs
    And 3 seconds pass
    And entry VM "b1" is frozen
    And 15 seconds pass
    And entry VM "b1" resumes
    And 60 seconds pass
    Then all invariants hold

  Scenario: an entry VM shuts down gracefully under load
    When every service instance is 25 times slower
    And 2000 normal requests come in within 20 seconds
    And 5 seconds pass
    And entry VM "a2" shuts down gracefully
    And 60 seconds pass
    Then all invariants hold
    And every request was answered

  Scenario: entry VMs are restarted under load, and each claims its instances again at once
    When every service instance is 50 times slower
    And 2000 normal requests come in within 20 seconds
    And 200 keyed requests come in within 20 seconds, each through 2 entry VMs
    And 5 seconds pass
    And entry VM "a1" is restarted
    And 3 seconds pass
    And entry VM "b1" is restarted
    And 60 seconds pass
    Then all invariants hold
