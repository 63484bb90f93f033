import t from 'tap'
import {
  LEASE_END_PERMISSIONS as PERMISSIONS, LEASE_END_RULES as RULES, leaseEndsSpec,
  type LeaseEndBounds, type LeaseEndPermissions, type LeaseEndRules, type LeaseEndsState
} from './leaseEndsSpec.js'
import { walk } from './walk.js'

/** The task runs on the worker that is lost. The first two leaders extend its lease and write the record; the third one starts the task. */
const RECORD: LeaseEndBounds = {
  leaders: 3, runWorker: 0, extensions: [1, 1, 0], losses: [1, 1, 0], starts: [0, 0, 1], copies: 1, restarts: 0, views: false, oldVersion: 0
}
/** Only the first leader notes a loss, and one of the two extends the lease. */
const ONE_LOSS: LeaseEndBounds = { ...RECORD, extensions: [1, 0, 0], losses: [1, 0, 0] }
const EXTENDED_LATER: LeaseEndBounds = { ...ONE_LOSS, extensions: [0, 1, 0] }
/** The second leader is of a version that does not know the record. */
const UPGRADE: LeaseEndBounds = { ...EXTENDED_LATER, oldVersion: 2 }
/** Copies of two writes of a leader may be in flight. */
const LATE_WRITES: LeaseEndBounds = { ...ONE_LOSS, copies: 2 }
/** The worker is lost twice, and daemons see the losses before they are elected. */
const VIEWS: LeaseEndBounds = { ...ONE_LOSS, leaders: 2, losses: [2, 0, 0], starts: [0, 1, 0], views: true }
/** The task runs on the worker that answers, and each leader may start it again. */
const LISTING: LeaseEndBounds = { ...RECORD, runWorker: 1, extensions: [0, 0, 0], losses: [0, 0, 0], starts: [1, 1, 1] }
/** The task runs on the worker that is lost, and two leaders may start it again. */
const LAPSE: LeaseEndBounds = { ...LISTING, runWorker: 0, starts: [0, 1, 1] }
/** The worker that answers restarts under its id, and a try of a start may reach its next incarnation. */
const RESTART: LeaseEndBounds = { ...LISTING, runWorker: -1, restarts: 1 }

const BOUNDS_WITH_ALL_RULES = { RECORD, UPGRADE, LATE_WRITES, VIEWS, LISTING, LAPSE, RESTART }

/** Invariants that are violated when a leader counts on a recorded end while the lease goes on. */
const RECORD_INVARIANTS = ['oneRun', 'noRunAfterRecordedEnd']

/** For each rule, bounds within which each of the invariants is violated without it. */
const BOUNDS_BY_RULE: Record<keyof LeaseEndRules, { bounds: LeaseEndBounds, invariants?: string[] }> = {
  endOfLastSent: { bounds: ONE_LOSS, invariants: RECORD_INVARIANTS },
  removalBeforeExtending: { bounds: ONE_LOSS, invariants: RECORD_INVARIANTS },
  countedFromSeeing: { bounds: VIEWS, invariants: RECORD_INVARIANTS },
  recordReadAfterElection: { bounds: VIEWS, invariants: RECORD_INVARIANTS },
  recordKnownToLast: { bounds: UPGRADE, invariants: RECORD_INVARIANTS },
  recordsFenced: { bounds: EXTENDED_LATER, invariants: RECORD_INVARIANTS },
  lateWritesRefused: { bounds: LATE_WRITES, invariants: RECORD_INVARIANTS },
  everyExtenderAwaited: { bounds: ONE_LOSS },
  everyStarterAwaited: { bounds: LISTING },
  listedRunsCounted: { bounds: LAPSE },
  knownAfterStop: { bounds: LISTING },
  ownSuccessorAwaited: { bounds: RESTART }
}

/** For each permission, the state that is reached only with it. */
const REACHED_BY_PERMISSION: Record<keyof LeaseEndPermissions, { bounds: LeaseEndBounds, reached: 'startedByRecord' | 'startedByListing' }> = {
  lossRecorded: { bounds: ONE_LOSS, reached: 'startedByRecord' },
  listedRunKnown: { bounds: LISTING, reached: 'startedByListing' }
}

for (const [name, bounds] of Object.entries(BOUNDS_WITH_ALL_RULES)) {
  t.test(`oneRun and noRunAfterRecordedEnd hold with all rules: ${name}`, async t => {
    const { states, transitions, violation, trace } = walk(leaseEndsSpec({ rules: RULES, permissions: PERMISSIONS, bounds }))
    t.comment(`${states} states, ${transitions} transitions, 2 workers, bounds ${JSON.stringify(bounds)}`)
    t.equal(violation, undefined, trace?.join(' ') ?? 'no violation')
  })
}

for (const [rule, { bounds, invariants = ['oneRun'] }] of Object.entries(BOUNDS_BY_RULE)) {
  for (const invariant of invariants) {
    t.test(`${invariant} is violated without ${rule}`, async t => {
      const spec = leaseEndsSpec({ rules: { ...RULES, [rule]: false }, permissions: PERMISSIONS, bounds })
      const { states, violation, trace } = walk({ ...spec, violated: { [invariant]: spec.violated[invariant] } })
      t.comment(`${states} states, trace ${trace?.join(' ')}`)
      t.equal(violation, invariant)
    })
  }
}

for (const [permission, { bounds, reached }] of Object.entries(REACHED_BY_PERMISSION)) {
  t.test(`the task starts earlier with ${permission}`, async t => {
    const reach = (permissions: LeaseEndPermissions): ReturnType<typeof walk> => {
      const spec = leaseEndsSpec({ rules: RULES, permissions, bounds })
      return walk({ ...spec, violated: { [reached]: (state: LeaseEndsState) => state[reached] } })
    }
    const { states, violation, trace } = reach(PERMISSIONS)
    t.comment(`${states} states, trace ${trace?.join(' ')}`)
    t.equal(violation, reached)
    t.equal(reach({ ...PERMISSIONS, [permission]: false }).violation, undefined)
  })
}
