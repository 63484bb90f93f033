/** Tests of which connections are closed when callers hold too much, or hold too many connections. */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { CallerBudget, type CallerAccount, type CallerBudgetOptions } from 'pomelofold/edge/callerBudget'

/** Creates a budget of 1,000 bytes and 10 connections, with named accounts. */
function createBudget (options: Partial<CallerBudgetOptions> = {}) {
  const timers = new ManualTimers()
  const budget = new CallerBudget({ timers, maxHeldBytes: 1_000, maxConnections: 10, stallMs: 2_000, ...options })
  const closed: string[] = []
  const tryOpen = (name: string): CallerAccount | undefined => budget.open(bound => { closed.push(`${name}: ${bound}`) })
  const open = (name: string): CallerAccount => tryOpen(name)!
  return { timers, budget, closed, tryOpen, open }
}

t.test('the connection without progress for the longest time is closed for memory', async t => {
  const { timers, budget, closed, open } = createBudget()
  const [first, second, third] = ['first', 'second', 'third'].map(open)
  t.ok(first.update(400, 'caller'))
  t.ok(second.update(400, 'caller'))
  await timers.advance(1)
  first.progress()
  t.ok(third.update(400, 'caller'))
  t.same(closed, ['second: memory'])
  t.equal(budget.heldBytes, 800)
})

t.test('a connection that holds no more than its share is not closed for memory', async t => {
  const { timers, closed, open } = createBudget()
  t.ok(open('old').update(100, 'caller'))
  await timers.advance(60_000)
  t.ok(open('large').update(800, 'caller'))
  t.ok(open('new').update(500, 'caller'))
  t.same(closed, ['large: memory'])
})

t.test('a connection that waits for an answer is not closed, and what does not fit beside it is refused', async t => {
  const { timers, budget, closed, tryOpen, open } = createBudget({ maxConnections: 2 })
  t.ok(open('served').update(900, 'server'))
  await timers.advance(60_000)
  const other = open('other')
  t.notOk(other.update(200, 'caller'))
  t.ok(other.update(100, 'server'))
  t.equal(budget.heldBytes, 1_000)
  t.equal(tryOpen('third'), undefined)
  t.same(closed, [])
})

t.test('a connection is not closed for what it asks itself', async t => {
  const { closed, open } = createBudget()
  const only = open('only')
  t.ok(only.update(900, 'caller'))
  t.notOk(only.update(1_100, 'caller'))
  t.ok(only.update(1_000, 'caller'))
  t.same(closed, [])
})

t.test('the connection whose request makes no progress is closed for a new one', async t => {
  const { timers, budget, closed, open } = createBudget({ maxConnections: 3 })
  open('idle').update(0, 'idle')
  open('stalled').update(10, 'caller')
  await timers.advance(1_000)
  open('slow').update(10, 'caller')
  await timers.advance(1_000)
  open('new')
  t.same(closed, ['stalled: connections'])
  t.equal(budget.connections, 3)
})

t.test('idle connections are closed before callers that have just come', async t => {
  const { timers, closed, open } = createBudget({ maxConnections: 3 })
  for (const name of ['first', 'second']) open(name).update(0, 'idle')
  open('fresh')
  await timers.advance(1_999)
  for (const name of ['third', 'fourth', 'fifth']) open(name)
  t.same(closed, ['first: connections', 'second: connections', 'fresh: connections'])
})

t.test('an end releases what the connection held, once', async t => {
  const { budget, open } = createBudget()
  const account = open('one')
  account.update(300, 'caller')
  account.end()
  account.end()
  account.progress()
  t.notOk(account.update(300, 'caller'))
  t.equal(budget.heldBytes, 0)
  t.equal(budget.connections, 0)
})

// Guards against a decision that looks at all connections for each victim.
t.test('thousands of connections that hold much are closed one by one as others come', async t => {
  const { timers, budget, closed, open } = createBudget({ maxHeldBytes: 40_000, maxConnections: 4_000 })
  for (let i = 0; i < 20_000; i++) {
    await timers.advance(1)
    t.ok(open(String(i)).update(20, 'caller'))
  }
  t.equal(budget.heldBytes, 40_000)
  t.same(closed, Array.from({ length: 18_000 }, (_, i) => `${i}: memory`))
})
