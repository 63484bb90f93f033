import fc from 'fast-check'
import t from 'tap'
import { checkCredential, hashKey, loggedHash, REFUSAL_CAUSES, type CredentialBounds } from 'pomelofold/teams/credentials'
import { CredentialChecker } from 'pomelofold/teams/credentialChecker'
import type { CellConfig, TeamsConfig } from 'pomelofold/seams/workflowUpstreams'

const STRICT: CredentialBounds = { strict: true, withdrawalMs: 5_000, applyMs: 3_000 }
const LENIENT: CredentialBounds = { ...STRICT, strict: false }
const KNOWN = hashKey('known')
const UNKNOWN = hashKey('unknown')
const CAP = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
const TEAMS: TeamsConfig = { byName: new Map([['a', { name: 'a', weight: 1, cap: CAP }]]), nameByKeyHash: new Map([[KNOWN, 'a']]) }

const { missingKey, unknownKey, notProvable } = REFUSAL_CAUSES

/** Rows: key, open queue, age of the proof, strict withdrawal, expected decision. */
const TABLE: Array<[string | undefined, boolean, number, boolean, object]> = [
  [KNOWN, false, 0, true, { team: 'a' }],
  [KNOWN, false, 5_000, true, { team: 'a' }],
  [KNOWN, false, 5_001, true, { refusal: notProvable, team: 'a' }],
  [KNOWN, false, Infinity, true, { refusal: notProvable, team: 'a' }],
  [KNOWN, false, Infinity, false, { team: 'a' }],
  [UNKNOWN, false, 3_000, true, { refusal: unknownKey }],
  [UNKNOWN, false, 3_001, true, { refusal: notProvable }],
  [UNKNOWN, false, 3_001, false, { refusal: notProvable }],
  [undefined, false, 0, true, { refusal: missingKey }],
  [undefined, false, Infinity, true, { refusal: missingKey }],
  [undefined, true, Infinity, true, {}],
  [UNKNOWN, true, 0, true, {}],
  [KNOWN, true, 0, true, { team: 'a' }],
  [KNOWN, true, Infinity, true, {}]
]

for (const [keyHash, open, proofAgeMs, strict, expected] of TABLE) {
  const key = keyHash === undefined ? 'no' : keyHash === KNOWN ? 'a known' : 'an unknown'
  t.test(`${key} key, ${open ? 'open' : 'closed'} queue, proof of ${proofAgeMs} ms, ${strict ? 'strict' : 'not strict'}`, async t => {
    t.same(checkCredential({ keyHash, open, teams: TEAMS, proofAgeMs, bounds: strict ? STRICT : LENIENT }), expected)
  })
}

t.test('without teams every request is served, with and without a key', async t => {
  for (const keyHash of [undefined, UNKNOWN]) {
    t.same(checkCredential({ keyHash, open: false, teams: undefined, proofAgeMs: Infinity, bounds: STRICT }), {})
  }
})

t.test('a closed queue serves exactly the keys of the configuration, under strict withdrawal within the bound', async t => {
  const keys = fc.array(fc.string({ minLength: 1, maxLength: 6 }), { maxLength: 5 })
  const draws = fc.record({
    keys, key: fc.string({ minLength: 1, maxLength: 6 }), proofAgeMs: fc.double({ min: 0, max: 20_000, noNaN: true }), strict: fc.boolean()
  })
  fc.assert(fc.property(draws, ({ keys, key, proofAgeMs, strict }) => {
    const nameByKeyHash = new Map(keys.map(known => [hashKey(known), 'a']))
    const bounds = strict ? STRICT : LENIENT
    const teams = { ...TEAMS, nameByKeyHash }
    const { refusal, team } = checkCredential({ keyHash: hashKey(key), open: false, teams, proofAgeMs, bounds })
    const known = keys.includes(key)
    const inBound = !strict || proofAgeMs <= STRICT.withdrawalMs
    if ((refusal === undefined) !== (known && inBound)) throw new Error(`refusal ${refusal}`)
    if (refusal === unknownKey && (known || proofAgeMs > STRICT.applyMs)) throw new Error('401 for a key that a newer version may hold')
    if ((team === 'a') !== known) throw new Error(`team ${team}`)
  }), { seed: 3, numRuns: 5_000 })
})

t.test('the logged part of a hash is short and is not the key', async t => {
  t.equal(loggedHash(KNOWN)!.length, 8)
  t.not(hashKey('known'), hashKey('known '))
  t.equal(loggedHash(undefined), undefined)
})

t.test('a check without a recent proof waits for the store when it may answer, and otherwise refuses at once', async t => {
  const configuration = {
    config: { teams: TEAMS } as CellConfig, proofAgeMs: Infinity, renewFromStore: (): Promise<void> | undefined => undefined
  }
  const checker = new CredentialChecker({ configuration, bounds: STRICT })
  t.same(await checker.check({ keyHash: KNOWN, open: false }), { refusal: notProvable, team: 'a' })
  configuration.renewFromStore = async () => { configuration.proofAgeMs = 10 }
  t.same(await checker.check({ keyHash: KNOWN, open: false }), { team: 'a' })
  t.same(await checker.check({ keyHash: UNKNOWN, open: false }), { refusal: unknownKey })
})
