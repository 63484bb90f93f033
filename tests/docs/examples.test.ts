import { cpSync, readdirSync, readFileSync, symlinkSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { join } from 'node:path'
import t, { type Test } from 'tap'
import { jobSpecSchema } from 'pomelofold/protocol/jobs'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { daemonSettingsSchema } from 'pomelofold/settings/daemonSettings'
import { REPO } from '../cli/runCli.js'
import { startOneEntryCell } from '../http/oneEntryCell.js'
import { fencedBlocks, readPage, runScript } from './pages.js'

/** Loopback addresses with a port in `examples/`. */
const EXAMPLE_PORTS = /127\.0\.0\.1:(\d+)/g

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise(resolve => { server.listen(0, '127.0.0.1', () => resolve(undefined)) })
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => { server.close(resolve) })
  return port
}

/** Returns a function that replaces the ports in a text with free ones, the same for equal ports of all texts. */
function withFreePorts () {
  const ports = new Map<string, number>()
  return async (text: string): Promise<string> => {
    for (const [, port] of text.matchAll(EXAMPLE_PORTS)) ports.set(port, ports.get(port) ?? await freePort())
    return text.replace(EXAMPLE_PORTS, (_, port) => `127.0.0.1:${ports.get(port)}`)
  }
}

/** Creates a directory like the repository, with a copy of `examples/` whose ports are replaced. */
async function checkout (t: Test, replacePorts: (text: string) => Promise<string>): Promise<string> {
  const dir = t.testdir()
  for (const name of ['packages', 'node_modules', 'package.json']) symlinkSync(join(REPO, name), join(dir, name))
  cpSync(join(REPO, 'examples'), join(dir, 'examples'), { recursive: true })
  for (const folder of ['daemons', 'standins']) {
    for (const name of readdirSync(join(dir, 'examples', folder))) {
      const file = join(dir, 'examples', folder, name)
      writeFileSync(file, await replacePorts(readFileSync(file, 'utf8')))
    }
  }
  return dir
}

t.test('the commands of the README start a cell, which accepts a manifest, a request and jobs', async t => {
  const replacePorts = withFreePorts()
  const cwd = await checkout(t, replacePorts)
  const [build, ...rest] = fencedBlocks('README.md', 'sh run').join('').split('\n')
  t.equal(build, 'npm run build')
  const output = await runScript(await replacePorts(rest.join('\n')), { cwd })
  t.match(output, /entry-c1 +c +yes/)
  t.match(output, /committed as revision/)
  t.match(output, /: ran, status 200/)
  t.match(output, /model-fit +gang/)
})

t.test('the README names the two commands that CI runs', async t => {
  for (const script of ['demo', 'test']) {
    t.match(readPage('README.md'), `npm ci && npm run ${script}`.replace('run test', 'test'))
    t.match(readPage('.ci/run'), new RegExp(`^npm (run )?${script}$`, 'm'))
  }
})

const { url } = await startOneEntryCell(t)

for (const page of ['docs/API.md', 'docs/MANIFEST.md', 'docs/SETTINGS.md', 'docs/CLI.md']) {
  t.test(`the commands of ${page} run against a cell`, async t => {
    const cwd = await checkout(t, async text => text)
    const script = fencedBlocks(page, 'sh run').join('')
    t.not(script, '')
    await t.resolves(runScript(script, { cwd, env: { POMELOFOLD_SERVER: url } }))
  })
}

t.test('the JSON documents in the pages match their schemas', async t => {
  const schemas = [['docs/MANIFEST.md', 'json manifest', manifestSchema], ['docs/API.md', 'json job', jobSpecSchema], ['docs/SETTINGS.md', 'json settings', daemonSettingsSchema]] as const
  for (const [page, info, schema] of schemas) {
    const blocks = fencedBlocks(page, info)
    t.not(blocks.length, 0, page)
    for (const block of blocks) t.match(schema.safeParse(JSON.parse(block)), { success: true }, page)
  }
})

t.test('the problem document in the API page equals the answer of the daemon', async t => {
  const [example] = fencedBlocks('docs/API.md', 'json problem')
  const [job] = fencedBlocks('docs/API.md', 'json job').map(text => JSON.parse(text))
  job.tasks[0].size.cpus = -1
  t.same(await (await fetch(`${url}/v1/jobs`, { method: 'POST', body: JSON.stringify(job) })).json(), JSON.parse(example))
})
