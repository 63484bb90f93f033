import { createHash, randomUUID } from 'node:crypto'
import t from 'tap'
import { jobSpecSchema } from 'pomelofold/protocol/jobs'
import { REQUEST_CLASSES, type RequestClass } from 'pomelofold/protocol/requests'
import { checkRecords, ranMoreThanOnce } from '../../utils/cell/checkRecords.js'
import { ProcessCell, waitUntil } from '../../utils/cell/processCell.js'
import { MANIFEST, readExample } from '../http/oneEntryCell.js'

/** Time between two requests of one client, in milliseconds. */
const CLIENT_PAUSE_MS = 20
const CLIENTS = 6
/** Factor of the service times that keeps requests in flight while a daemon shuts down. */
const SLOWNESS = 20

const SETTINGS = {
  claims: { leaseMs: 3_000, renewEveryMs: 1_000, outagePromiseMs: 600_000 },
  tasks: { leaseMs: 12_000, renewEveryMs: 4_000 }
}

/** Ids of requests that must run at most once: those with an idempotency key, and those marked at-most-once. */
const atMostOnceIds = new Set<string>()
/** Ids of requests that were answered `not-run`. */
const notRunIds = new Set<string>()

/** Results of requests sent as load. */
interface LoadResult {
  ran: number
  /** Descriptions of requests that got no answer, although their entry VM stayed up. */
  lost: string[]
}

const cell = await ProcessCell.start({ daemon: SETTINGS })
t.teardown(() => cell.close())
const vms = cell.plan.entries.map(entry => entry.vm)

/** Sends one request, checks that the answer belongs to it, and counts the result in `load`. */
async function sendOne (
  vm: string, cls: RequestClass, once: { idempotencyKey?: string, atMostOnce?: boolean }, load: LoadResult
): Promise<void> {
  const body = randomUUID()
  const sent = await cell.client(vm).sendRequest('readings', body, { class: cls, team: 'gardeners', ...once })
  if (sent.isErr) {
    load.lost.push(`${vm}: ${sent.error.message}`)
    return
  }
  const { requestId, outcome, status } = sent.value
  if (once.idempotencyKey !== undefined || once.atMostOnce) atMostOnceIds.add(requestId)
  if (outcome === 'not-run') notRunIds.add(requestId)
  if (outcome !== 'ran' || status !== 200) return
  const { digest } = JSON.parse(sent.value.body.toString('utf8'))
  if (digest !== createHash('sha256').update(body).digest('hex')) throw new Error(`request ${requestId} got the answer to another request`)
  load.ran++
}

/** Sends requests of all classes through `targets` until `until` resolves. Returns their results. */
async function runUnderLoad (targets: string[], until: () => Promise<void>): Promise<LoadResult> {
  const load: LoadResult = { ran: 0, lost: [] }
  const state = { isOver: false }
  const client = async (number: number): Promise<void> => {
    const classes = Object.values(REQUEST_CLASSES)
    for (let i = number; !state.isOver; i++) {
      const once = i % 5 === 0 ? { idempotencyKey: randomUUID() } : { atMostOnce: i % 5 === 1 }
      await sendOne(targets[i % targets.length], classes[i % classes.length], once, load)
      await new Promise(resolve => setTimeout(resolve, CLIENT_PAUSE_MS))
    }
  }
  const clients = Array.from({ length: CLIENTS }, (_, i) => client(i))
  try {
    await until()
  } finally {
    state.isOver = true
  }
  await Promise.all(clients)
  return load
}

/** Waits until a request through `vm` runs. */
function waitForService (vm: string): Promise<void> {
  return waitUntil(`a request through ${vm} runs`, async () =>
    (await cell.client(vm).sendRequest('readings', 'probe', { deadlineMs: 2_000 })).map(answer => answer.outcome === 'ran').unwrapOr(false))
}

/** Sets the factor of the service times of every service instance. */
async function setSlowness (slowness: number): Promise<void> {
  const instances = cell.plan.processes.filter(plan => plan.program === 'instance')
  await Promise.all(instances.map(({ name }) => cell.control(name, 'faults', { slowness })))
}

/** Waits until `vm` holds claims. */
function waitForClaims (vm: string): Promise<void> {
  return waitUntil(`${vm} holds claims`, async () => (await cell.client(vm).status()).map(({ claims }) => claims.held > 0).unwrapOr(false))
}

async function submitJob (vm: string, file: string, key: string): Promise<string> {
  let jobId = ''
  await waitUntil(`${file} is accepted`, async () => {
    const submitted = await cell.client(vm).submitJob(jobSpecSchema.parse(readExample(file)), key)
    jobId = submitted.map(job => job.jobId).unwrapOr('')
    return submitted.isOk
  })
  return jobId
}

function waitForJob (vm: string, jobId: string): Promise<void> {
  return waitUntil(`${jobId} is done`, async () => (await cell.client(vm).job(jobId)).map(({ state }) => state === 'done').unwrapOr(false))
}

t.test('a manifest takes effect at every entry VM, and one with a stale base revision is refused', async t => {
  const submitted = await cell.client(vms[0]).submitManifest(MANIFEST, 0)
  const revision = submitted.map(answer => answer.revision).unwrapOr(0)
  t.ok(revision > 0)
  for (const vm of vms) {
    await waitUntil(`revision ${revision} is in force at ${vm}`, async () => (await cell.client(vm).manifest()).map(current => current.revision === revision).unwrapOr(false))
  }
  t.match(await cell.client(vms[1]).submitManifest(MANIFEST, 0), { isErr: true, error: { problem: { status: 409, outcome: 'not-run' } } })
})

t.test('requests of each class run through every entry VM', async t => {
  for (const vm of vms) {
    await waitForService(vm)
    for (const cls of Object.values(REQUEST_CLASSES)) {
      const load: LoadResult = { ran: 0, lost: [] }
      await sendOne(vm, cls, {}, load)
      t.same(load, { ran: 1, lost: [] }, `${cls} through ${vm}`)
    }
  }
})

t.test('requests with the same idempotency key through two entry VMs run once and get the same answer', async t => {
  const sent = []
  for (const vm of ['entry-a1', 'entry-c1']) {
    const answer = (await cell.client(vm).sendRequest('readings', 'keyed', { idempotencyKey: 'pot-1' })).unwrapOr(undefined)
    sent.push({ outcome: answer?.outcome, body: answer?.body.toString() })
  }
  t.equal(sent[0].outcome, 'ran')
  t.same(sent[1], sent[0])
  atMostOnceIds.add(JSON.parse(sent[0].body!).requestId)
})

t.test('a batch job and a gang job finish although an entry daemon is killed under load', async t => {
  const jobIds = [await submitJob('entry-b1', 'rebuild.job.json', 'batch-1'), await submitJob('entry-b1', 'model.job.json', 'gang-1')]
  t.equal(await submitJob('entry-c1', 'rebuild.job.json', 'batch-1'), jobIds[0])
  const others = vms.filter(vm => vm !== 'entry-a1')
  const load = await runUnderLoad(others, async () => {
    await cell.end('entry-a1', 'SIGKILL')
    for (const jobId of jobIds) await waitForJob('entry-b1', jobId)
  })
  t.ok(load.ran > 0)
  t.same(load.lost, [])
  cell.startProcess('entry-a1')
  await cell.waitForEntry('entry-a1')
  await waitForService('entry-a1')
})

t.test('an entry daemon that was paused past its lease serves requests again after it resumes', async t => {
  const holder = 'entry-a2'
  await waitForClaims(holder)
  const load = await runUnderLoad(vms.filter(vm => vm !== holder), async () => {
    cell.signal(holder, 'SIGSTOP')
    await waitUntil('its peer has taken over all claims', async () => {
      const claims = (await cell.client('entry-a1').status()).map(status => status.claims.names.length).unwrapOr(0)
      return claims === 3
    })
    cell.signal(holder, 'SIGCONT')
    await waitForService(holder)
  })
  t.ok(load.ran > 0)
  t.same(load.lost, [])
})

t.test('requests run and claims are kept while the platform is unavailable', async t => {
  for (const vm of vms) await waitForClaims(vm)
  const load = await runUnderLoad(vms, async () => {
    const logged = new Map(vms.map(vm => [vm, cell.logOf(vm).length]))
    await cell.control('platform', 'faults', { outage: 'silent' })
    for (const vm of vms) {
      await waitUntil(`${vm} has lost contact`, () => cell.logOf(vm).includes('event=claims.noContact', logged.get(vm)))
    }
    const ran = new Set<string>()
    await waitUntil('requests run through every entry VM', async () => {
      for (const vm of vms) {
        const sent = await cell.client(vm).sendRequest('readings', 'probe', { deadlineMs: 2_000 })
        if (sent.map(answer => answer.outcome === 'ran').unwrapOr(false)) ran.add(vm)
      }
      return ran.size === vms.length
    })
    const keyed = (await cell.client().sendRequest('readings', 'new', { idempotencyKey: 'in-outage' })).unwrapOr(undefined)
    t.match(keyed, { status: 503, outcome: 'not-run', headers: { 'retry-after': String } })
    t.match(await cell.client().submitManifest(MANIFEST, 0), { isErr: true, error: { problem: { status: 503, retryAfterMs: Number } } })
    await cell.control('platform', 'faults', { outage: 'none' })
  })
  t.ok(load.ran > 0)
  t.same(load.lost, [])
  for (const vm of vms) await waitForClaims(vm)
})

t.test('a drained entry daemon hands over its claims, forwards requests, and exits with code 0', async t => {
  const vm = 'entry-a2'
  const load = await runUnderLoad(vms, async () => {
    t.match(await cell.client(vm).drain(), { isOk: true })
    await waitUntil('it holds no claims', async () => (await cell.client(vm).status()).map(({ claims }) => claims.held === 0).unwrapOr(false))
    await waitForService(vm)
  })
  t.same(load.lost, [])
  t.equal(await cell.end(vm), 0)
  cell.startProcess(vm)
  await cell.waitForEntry(vm)
  await waitForClaims(vm)
})

t.test('an entry daemon that receives SIGTERM under load answers every request in flight', async t => {
  const vm = 'entry-a1'
  await setSlowness(SLOWNESS)
  let answered = 0
  const inFlight = Array.from({ length: 30 }, (_, i) => cell.client(vm).sendRequest('readings', `last ${i}`).finally(() => { answered++ }))
  await waitUntil('every request has arrived', async () =>
    (await cell.client(vm).status()).map(status => status.inFlight > 0 && status.inFlight + answered === inFlight.length).unwrapOr(false))
  let code: number | null = null
  const load = await runUnderLoad(vms.filter(other => other !== vm), async () => { code = await cell.end(vm, 'SIGTERM') })
  await setSlowness(1)
  t.equal(code, 0)
  t.same(load.lost, [])
  for (const sent of await Promise.all(inFlight)) {
    const outcome = sent.map(answer => answer.outcome).unwrapOr('unknown')
    t.not(outcome, 'unknown', sent.isErr ? sent.error.message : outcome)
    if (sent.isOk && outcome === 'not-run') notRunIds.add(sent.value.requestId)
  }
})

t.test('the records of the upstreams violate no invariant', async t => {
  const [instances, workers] = [await cell.instanceRecords(), await cell.workerRecords()]
  t.same(checkRecords(instances, workers), [])
  t.same(ranMoreThanOnce(instances, atMostOnceIds), [])
  t.same([...notRunIds].filter(id => instances.some(({ timesRun }) => timesRun[id] !== undefined)), [], 'requests answered not-run did not run')
  t.ok(atMostOnceIds.size > 0)
})
