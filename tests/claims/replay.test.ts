/**
 * Replays, against the real claim keepers, the shortest traces by which the specification of authority reaches two holders
 * when one of its rules is left out. Guards against a claim keeper that lacks the rule.
 *
 * @module
 */

import t from 'tap'
import { authoritySpec, AUTHORITY_RULES, type AuthorityBounds, type AuthorityRules } from '../spec/authoritySpec.js'
import { walk } from '../spec/walk.js'
import { settledDomain, type ClaimDomain } from './claimDomain.js'

const BOUNDS: AuthorityBounds = { vms: 2, claimants: 2, mapRevisions: 4, restarts: 1, writesInFlight: 1, handOvers: false, promises: true }
const VMS = ['a', 'b']
const LEASE_MS = 7_000
const PROMISE_MS = 610_000
const SETTLE_MS = 1_500

/** Carries out each step of the specification in the real domain. Steps that are not listed happen by themselves as time passes. */
const STEP_ACTIONS: Record<string, (domain: ClaimDomain, vms: string[]) => Promise<void>> = {
  lapse: async (domain, [vm]) => domain.disconnect([vm]),
  expire: domain => domain.advance(LEASE_MS),
  open: async (domain, [vm]) => { domain.get(vm).platform.faults.unreachable = false; await domain.advance(SETTLE_MS) },
  read: domain => domain.advance(SETTLE_MS),
  promise: async (domain, vms) => { domain.disconnect(vms); await domain.advance(LEASE_MS / 2) },
  release: async (domain, [vm]) => { domain.get(vm).platform.faults.unreachable = false; await domain.advance(LEASE_MS) },
  givenEnds: domain => domain.advance(PROMISE_MS),
  sendTake: async (domain, [vm]) => { domain.get(vm).platform.faults.unreachable = false; await domain.advance(SETTLE_MS) },
  restart: async (domain, [vm]) => { domain.start(vm); await domain.advance(SETTLE_MS) }
}

const REPLAYED_RULES: Array<keyof AuthorityRules> = ['leaseCountedFromBeforeRenewal', 'promiseCountedFromBeforeAsking', 'promiseOnlyWhileValid',
  'promiseKept', 'rightBeginsWithOwnWrite', 'releaseAfterDropping', 'releaseInSequence', 'restartOutlivesPromises']

for (const rule of REPLAYED_RULES) {
  t.test(`the trace that leads to two holders without ${rule} leads to one holder in the claim keeper`, async t => {
    const { trace = [] } = walk(authoritySpec({ ...AUTHORITY_RULES, [rule]: false }, BOUNDS))
    t.not(trace.length, 0)
    const domain = await settledDomain({ a: 1, b: 1 })
    for (const name of trace) {
      const [, type, args] = /^(\w+)\((.*)\)$/.exec(name)!
      await STEP_ACTIONS[type]?.(domain, args.split(',').map(index => VMS[Number(index)]))
    }
    domain.reconnect()
    await domain.waitUntil(() => domain.allHeld(), PROMISE_MS)
    t.same(domain.conflicts, [])
  })
}
