Feature: Requests while upstreams and networks fail

  Background:
    Given a cell of 3 failure domains with 2 entry VMs, 2 service instances and 2 workers each

  Scenario: a failure domain is cut off from the platform and from the other failure domains
    When 2000 requests come in through failure domain "c" within 120 seconds
    And 5 seconds pass
    And failure domain "c" is cut off from the other failure domains
    And failure domain "c" is cut off from the platform
    And 100 seconds pass
    And all connections are restored
    And 60 seconds pass
    Then all invariants hold
    And at least 95 percent of the requests through failure domain "c" ran

  Scenario: answers arrive late or are cut off
    When 600 normal requests come in within 20 seconds
    And 200 keyed requests come in within 20 seconds, each through 2 entry VMs
    And service instance "instance-a1" answers 5000 milliseconds late
    And service instance "instance-b1" cuts off its answers
    And 60 seconds pass
    Then all invariants hold
    And every request was answered

  Scenario: a service instance leaves, another is lost and a third fails every request
    When 2000 normal requests come in within 40 seconds
    And 5 seconds pass
    And service instance "instance-a1" is listed as leaving
    And service instance "instance-b1" is lost
    And service instance "instance-c1" fails every request
    And 90 seconds pass
    Then all invariants hold
    And every request was answered

  Scenario: a service instance leaves while its failure domain is cut off only from the platform
    When 150 requests come in through failure domain "b" within 15 seconds
    And failure domain "b" is cut off from the platform
    And service instance "instance-b2" is listed as leaving
    And 20 seconds pass
    Then all invariants hold
    And at least 99 percent of the requests through failure domain "b" ran
