import { existsSync, readdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import t from 'tap'
import { Metrics } from 'pomelofold/server/metrics'
import { REPO } from '../cli/runCli.js'
import { readPage } from './pages.js'

const DOCS = readdirSync(join(REPO, 'docs'), { recursive: true, encoding: 'utf8' }).filter(file => file.endsWith('.md'))
const PAGES = ['README.md', 'CONTRIBUTING.md', ...DOCS.map(file => join('docs', file))]

t.test('links between pages lead to existing files', async t => {
  const broken = PAGES.flatMap(page => [...readPage(page).matchAll(/\]\(([^)#:]+)\)/g)]
    .filter(([, target]) => !existsSync(join(REPO, dirname(page), target)))
    .map(([, target]) => `${page}: ${target}`))
  t.same(broken, [])
})

t.test('the monitoring page lists every pomelofold metric, and only metrics that exist', async t => {
  const counts = { promisesHeld: 0, promisesGiven: 0, mapWrites: 0, mapConflicts: 0, takeovers: 0 }
  const claims = { held: 0, claimants: 0, liveMembers: 0, epoch: 0, inContact: true, validForMs: 0, ...counts }
  const requests = { requests: [], waits: [], objectives: [], retries: 0 }
  const metrics = new Metrics({ vm: 'a', requests: () => requests, claims: () => claims, manifestRevision: () => 0 })
  const names = new Set([...(await metrics.text()).matchAll(/^# TYPE (\S+)/gm)].map(([, name]) => name))
  const page = readPage('docs/operators/monitoring.md')
  const documented = [...page.matchAll(/^\| `([a-z0-9_]+)` \|/gm)].map(([, name]) => name)
  t.same([...names].filter(name => name.startsWith('pomelofold_') && !documented.includes(name)), [])
  t.same(documented.filter(name => !names.has(name)), [])
  for (const figure of Object.keys(claims)) t.ok(page.includes(`\`${figure}\``), figure)
})
