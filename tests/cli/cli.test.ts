/**
 * Guards the exit codes, error messages and JSON output of the command line, on which operators' scripts depend.
 */

import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { waitUntil } from '../../utils/cell/processCell.js'
import { startOneEntryCell } from '../http/oneEntryCell.js'
import { runCli } from './runCli.js'

const COMMANDS = [
  'validate', 'diff', 'submit', 'status', 'drain', 'report burn', 'report placement', 'report control', 'jobs list', 'jobs show', 'jobs explain', 'jobs submit', 'jobs cancel',
  'requests send', 'requests explain', 'settings check', 'settings schema'
]
const UNREACHABLE_SERVER = { POMELOFOLD_SERVER: 'http://127.0.0.1:9' }
const MANIFEST_FILE = 'examples/umurima.manifest.json'

t.test('every command has --help with --json and the exit codes', async t => {
  const helps = await Promise.all(COMMANDS.map(command => runCli([...command.split(' '), '--help'])))
  helps.forEach(({ code, stdout }, i) => {
    t.equal(code, 0, COMMANDS[i])
    t.match(stdout, /--json/, COMMANDS[i])
    t.match(stdout, /Exit codes:/, COMMANDS[i])
  })
})

t.test('the help does not show the token', async t => {
  t.notMatch((await runCli(['status', '--help'], { POMELOFOLD_TOKEN: 'secret-1' })).stdout, /secret-1/)
})

t.test('wrong arguments exit with 2 and say what is allowed', async t => {
  const wrong: Array<[string[], RegExp]> = [
    [['nothing'], /unknown command/],
    [['jobs', 'nothing'], /unknown command/],
    [['jobs', 'show'], /missing required argument/],
    [['status', '--server', 'nowhere'], /must be a URL such as/],
    [['submit', MANIFEST_FILE, '--base-revision', '-1'], /must be a whole number/],
    [['submit', MANIFEST_FILE], /--base-revision/],
    [['requests', 'send', 'readings', '--deadline-ms', 'soon'], /must be a whole number/],
    [['requests', 'send', 'readings', '--class', 'soon'], /Allowed choices are urgent, normal, batch/],
    [['validate', 'none.json'], /ENOENT/]
  ]
  const results = await Promise.all(wrong.map(([args]) => runCli(args)))
  results.forEach(({ code, stderr }, i) => {
    t.equal(code, 2, wrong[i][0].join(' '))
    t.match(stderr, wrong[i][1])
  })
})

t.test('a file with invalid fields exits with 2 and an error that names path, value and what is allowed', async t => {
  const file = join(t.testdir(), 'settings.json')
  writeFileSync(file, JSON.stringify({ vm: 'entry-a1', failureDomain: 'a', http: { address: 'everywhere' }, peers: [], platform: {}, colour: 1 }))
  const { code, stderr } = await runCli(['settings', 'check', file])
  t.equal(code, 2)
  t.match(stderr, /http\.address: must be host:port with an IP number \(found "everywhere"\)/)
  t.match(stderr, /colour/)
  const asJson = await runCli(['settings', 'check', file, '--json'])
  t.equal(asJson.code, 2)
  t.match(JSON.parse(asJson.stdout), { error: { detail: /http\.address/ } })
})

t.test('an unreachable entry daemon exits with 4 and an error that says what to check', async t => {
  const { code, stderr } = await runCli(['status'], UNREACHABLE_SERVER)
  t.equal(code, 4)
  t.match(stderr, /check --server/)
})

t.test('files are checked without an entry daemon', async t => {
  t.match(await runCli(['validate', MANIFEST_FILE], UNREACHABLE_SERVER), { code: 0, stdout: /is valid: 1 services/ })
  t.match(JSON.parse((await runCli(['settings', 'schema', '--json'], UNREACHABLE_SERVER)).stdout), { type: 'object' })
})

const { url } = await startOneEntryCell(t)
const env = { POMELOFOLD_SERVER: url }
const run = (...args: string[]) => runCli(args, env)
const runJson = async (...args: string[]) => JSON.parse((await run(...args, '--json')).stdout)
const { revision } = await runJson('status')

t.test('status is a table of entry VMs, or JSON', async t => {
  const { code, stdout } = await run('status')
  t.equal(code, 0)
  t.match(stdout, /ENTRY VM +FAILURE DOMAIN +REACHABLE +LEAVING +REVISION +CLAIMS/)
  t.match(stdout, new RegExp(`entry-a1 +a +yes +no +${revision} +\\d`))
  t.match(await runJson('status'), { vm: 'entry-a1', entries: [{ vm: 'entry-a1', reachable: true, claims: Number }] })
})

t.test('diff exits with 0 without differences and with 1 for differences', async t => {
  t.match(await run('diff', MANIFEST_FILE), { code: 0, stdout: /no difference/ })
  t.match(await run('diff', 'examples/asociacion.manifest.json'), { code: 1, stdout: /services\.playlists: \(absent\) -> / })
})

t.test('submit exits with 3 for a stale revision and says which one is in force', async t => {
  t.match(await run('submit', MANIFEST_FILE, '--base-revision', '0'), { code: 3, stderr: new RegExp(`${revision} is in force`) })
  t.match(await runJson('submit', MANIFEST_FILE, '--base-revision', '0'), { error: { status: 409, outcome: 'not-run' } })
})

t.test('a request is sent and explained', async t => {
  const sent = await runJson('requests', 'send', 'readings', '--data', 'water?', '--class', 'urgent', '--team', 'gardeners')
  t.match(sent, { outcome: 'ran', status: 200, requestId: String })
  t.match(await run('requests', 'explain', sent.requestId), { code: 0, stdout: /: ran\n {2}.* accepted/ })
  t.match(await run('requests', 'explain', 'none'), { code: 1, stderr: /unknown/ })
  t.match(await run('requests', 'send', 'none'), { code: 1, stdout: /not-run, status 404/ })
})

t.test('a job is submitted, shown, explained, listed and cancelled', async t => {
  const { jobId } = await runJson('jobs', 'submit', 'examples/model.job.json', '--key', 'cli-1')
  t.equal((await runJson('jobs', 'submit', 'examples/model.job.json', '--key', 'cli-1')).jobId, jobId)
  t.match(await run('jobs', 'submit', 'examples/rebuild.job.json', '--key', 'cli-1'), { code: 3, stderr: /use a new key/ })
  await waitUntil('the job is done', async () => (await runJson('jobs', 'show', jobId)).state === 'done')
  t.match(await run('jobs', 'list'), { code: 0, stdout: /JOB +NAME +KIND/ })
  t.match(await runJson('jobs', 'explain', jobId), { jobId, state: 'done' })
  t.match(await run('jobs', 'cancel', 'none'), { code: 1, stderr: /there is no job/ })
})

t.test('report shows the burn of each objective', async t => {
  t.match(await run('report'), { code: 0, stdout: /readings +urgent +50 +0\.999/ })
  t.match(await runJson('report'), { unreachable: [], objectives: Array })
  t.match(await runJson('report', 'burn'), { unreachable: [], objectives: [{ service: 'readings', class: 'normal' }, { class: 'urgent', alert: 'none' }] })
  const html = join(t.testdir(), 'burn.html')
  t.match(await run('report', 'burn', '--html', html), { code: 0, stdout: /BUDGET LEFT/ })
  t.match(readFileSync(html, 'utf8'), /<svg/)
  t.match(await run('report', 'burn', '--html', join(html, 'none')), { code: 2, stderr: /burn\.html/ })
})

t.test('report control shows the resource usage of each entry daemon', async t => {
  t.match(await run('report', 'control'), { code: 0, stdout: /ENTRY VM +OF A CORE[^]*\d+\.\d% +\d+/ })
  t.match(await runJson('report', 'control'), { daemons: [{ vm: /^entry-/ }], unreachable: [] })
})

t.test('report placement shows workers and waiting times', async t => {
  t.match(await run('report', 'placement'), { code: 0, stdout: /FAILURE DOMAIN +WORKERS[^]*\na +2 [^]*CLASS +REQUESTS[^]*urgent +\d/ })
  t.match(await runJson('report', 'placement'), { domains: [{ failureDomain: 'a', workers: 2 }], waits: Array, unreachable: [] })
})

t.test('after drain the status of the entry daemon is leaving', async t => {
  t.match(await run('drain'), { code: 0, stdout: /draining/ })
  t.match(await runJson('status'), { leaving: true })
})
