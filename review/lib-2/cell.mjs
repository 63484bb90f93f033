/**
 * A small installation: daemons as the deploy file runs them, with stand-ins for store, minions and clients in this process.
 */

import { spawn } from 'node:child_process'
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request, Agent } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Minion } from './minion.mjs'
import { Store } from './store.mjs'

const ROOT = new URL('../../', import.meta.url).pathname
export const HOST = '127.0.0.1'
export const CLIENT_HOST = 'cell.example'
const LEADER_KEY = 'pomelofold/cell/leader'
const RESTART_MS = 300
/** Longest time for which a script runs. */
const LIMIT_MS = 115_000
const PORTS = { first: 12_000, last: 31_000 }
const taken = new Set()

/** Exit codes of a case. */
export const VERDICTS = { held: 0, broken: 1, unable: 2 }

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

export async function until (condition, ms, what) {
  const end = Date.now() + ms
  for (;;) {
    const found = await condition()
    if (found) return found
    if (Date.now() > end) throw new Unable(`not within ${ms} ms: ${what}`)
    await sleep(20)
  }
}

/** The case could not be brought about. */
export class Unable extends Error {}

export class Cell {
  constructor (caseDir) {
    this.lines = []
    this.startedAt = Date.now()
    this.recordFile = join(caseDir, 'record.txt')
    writeFileSync(this.recordFile, '')
    this.record = line => {
      const text = `${((Date.now() - this.startedAt) / 1000).toFixed(3)} ${line}`
      this.lines.push({ atMs: Date.now(), line })
      writeFileSync(this.recordFile, `${text}\n`, { flag: 'a' })
    }
    this.dir = mkdtempSync(join(tmpdir(), 'pomelofold-review-'))
    this.store = new Store()
    this.minions = []
    this.daemons = []
    this.agent = new Agent({ keepAlive: true })
    this.version = 0
    process.once('exit', () => {
      this._killAll()
      rmSync(this.dir, { recursive: true, force: true })
    })
    for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(VERDICTS.unable))
  }

  async start ({ daemons, zones = ['a', 'b', 'c'] }) {
    await this.store.listen(HOST)
    for (let index = 0; index < daemons; index++) {
      const zone = zones[index % zones.length]
      const [front, ready, first, last] = await freePorts(4)
      this.daemons.push({ name: `front-${zone}-${index}`, zone, front, ready, first, last, process: undefined, wanted: true })
    }
    for (const daemon of this.daemons) this._spawn(daemon)
    await until(() => this.leader, 20_000, 'a leader')
    await until(async () => (await Promise.all(this.daemons.map(({ ready }) => isReady(ready)))).every(Boolean), 20_000, 'all daemons are ready')
    this.record('cell ready')
  }

  configure (routes) {
    const version = this.version += 3
    const services = [...new Set(routes.map(({ service }) => service))].map(name => ({
      name, health_path: '/health', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: false, spare: false
    }))
    const limits = { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
    this.store.write('op/config', JSON.stringify({ version, routes, services, limits }))
    this.record(`operator config version=${version} routes=${routes.map(({ name }) => name).join(',')}`)
  }

  async addMinion (options) {
    const minion = new Minion({ store: this.store, record: this.record, host: HOST, zone: 'a', ...options })
    this.minions.push(minion)
    await minion.start()
    return minion
  }

  /** The daemon that the store names as the leader. */
  get leader () {
    const text = this.store.text(LEADER_KEY)
    const leader = this.daemons.find(({ name }) => text && JSON.parse(text).vm === name)
    return leader?.process && leader
  }

  /** Number of the present leader's term; 0 when there is none. */
  get term () {
    const text = this.store.text(LEADER_KEY)
    return text ? JSON.parse(text).term : 0
  }

  /** Settings as DEPLOY.md lists them, with the bounds of a small installation. */
  _settings ({ name, zone, front, ready, first, last }) {
    return [
      `node_name=${name}`, 'role=scheduler', 'machine_class=front', 'serves=front', `ip=${HOST}`, `zone=${zone}`, 'region=kigali',
      `listen_addrs.front=${HOST}:${front}`, `listen_addrs.ready=${HOST}:${ready}`, `port_range=${first},${last}`, 'seeds=',
      'bootstrap=true', 'limits.cpu_share=0.675', 'limits.cores=1', 'limits.memory_mb=350', 'limits.max_fds=4100',
      'limits.link_mbps=1000.0', 'limits.disk_mb=0', 'discovery=platform', 'entry=vip', 'heartbeat_ms=1500',
      'active_rules=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
      'fault_tolerance.machines=1', 'fault_tolerance.zones=1',
      'bounds.contact_ms=3000', 'bounds.ack_ms=4000', 'bounds.catch_up_s=4', 'bounds.drain_ms=2000', 'bounds.grace_s=6',
      'bounds.loss_slack_ms=200', 'bounds.config_apply_ms=2000', 'bounds.rollback_slack_ms=250', 'bounds.max_stretch_ms=5000',
      'bounds.recover_s=12', 'bounds.hold_max_ms=6000', 'bounds.stop_ms=900', 'bounds.gang_ms=3000', 'bounds.cancel_ms=3000',
      'bounds.visible_ms=3000', 'bounds.early_ms=250', 'bounds.finish_s=14', 'bounds.status_s=120', 'bounds.save_s=0.5',
      'bounds.restore_ms=100', 'bounds.notice_ms=4500', 'bounds.lease_ms=3000', 'bounds.fence_required=true',
      'orders=call', 'advice=', `platform.address=${this.store.address}`, 'platform.form=kv', 'platform.writes_per_s=400',
      'platform.reads_per_s=2000', 'platform.history_s=20', 'platform.value_bytes=1048576', 'platform.ttl_min_ms=1000', ''
    ].join('\n')
  }

  /** Starts the program with the command of the deploy file. A process that ends is started again after a short delay. */
  _spawn (daemon) {
    const path = join(this.dir, `${daemon.name}.conf`)
    writeFileSync(path, this._settings(daemon))
    const run = /^run = "([^"]+)"/m.exec(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'))[1]
    const [command, ...args] = run.split(' ')
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', POMELOFOLD_CONFIG: path }
    const child = spawn(command === 'node' ? process.execPath : command, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] })
    const logs = process.env.LOGS
    if (logs) mkdirSync(logs, { recursive: true })
    const log = logs && createWriteStream(join(logs, `${daemon.name}.log`), { flags: 'a' })
    for (const stream of [child.stdout, child.stderr]) log ? stream.pipe(log, { end: false }) : stream.resume()
    daemon.process = child
    this.record(`daemon ${daemon.name} start`)
    child.once('exit', (code, signal) => {
      daemon.process = undefined
      this.record(`daemon ${daemon.name} exit code=${code} signal=${signal}`)
      if (daemon.wanted && !this.closed) setTimeout(() => { if (!this.closed) this._spawn(daemon) }, RESTART_MS)
    })
  }

  signal (daemon, signal) {
    this.record(`signal ${daemon.name} ${signal}`)
    daemon.process?.kill(signal)
  }

  /** Sends a request of a client to a daemon. The status is 0 when no complete answer arrives. */
  call (daemon, method, path, body, timeoutMs = 3_000) {
    const data = body && JSON.stringify(body)
    return new Promise(resolve => {
      const done = (status, text) => {
        clearTimeout(timer)
        this.record(`client ${method} ${path} at ${daemon.name} -> ${status} ${text}`)
        let parsed
        try { parsed = JSON.parse(text) } catch {}
        resolve({ status, body: parsed })
      }
      const headers = { host: CLIENT_HOST, 'x-pomelofold-deadline-ms': String(timeoutMs), ...data && { 'content-type': 'application/json' } }
      const req = request({ host: HOST, port: daemon.front, method, path, headers, agent: this.agent }, res => {
        const chunks = []
        res.on('data', chunk => chunks.push(chunk))
        res.on('end', () => done(res.statusCode, Buffer.concat(chunks).toString()))
        res.on('error', () => done(0, ''))
      })
      const timer = setTimeout(() => req.destroy(new Error('deadline')), timeoutMs)
      req.on('error', () => done(0, ''))
      req.end(data)
    })
  }

  /** Asks for a state without a line in the record. Resolves to whether an answer came within a second. */
  ask (daemon, path) {
    return new Promise(resolve => {
      const headers = { host: CLIENT_HOST }
      const req = request({ host: HOST, port: daemon.front, path, headers, agent: this.agent, timeout: 1_000 }, res => {
        res.resume()
        res.on('end', () => resolve(true))
      })
      req.on('timeout', () => req.destroy())
      req.on('error', () => resolve(false))
      req.end()
    })
  }

  /** Starts of a task on minions, with their times. */
  starts (task) {
    return this.lines.filter(({ line }) => / start task=/.test(line) && line.includes(` task=${task} `))
  }

  /** Ends of a task on minions. */
  ends (task, how) {
    return this.lines.filter(({ line }) => / end task=/.test(line) && line.includes(` task=${task} `) && (!how || line.endsWith(`how=${how}`)))
  }

  _killAll () {
    this.closed = true
    for (const { process: child } of this.daemons) child?.kill('SIGKILL')
  }

  async close () {
    this._killAll()
    for (const daemon of this.daemons) while (daemon.process) await sleep(10)
    for (const minion of this.minions) minion.crash()
    this.store.close()
    this.agent.destroy()
    rmSync(this.dir, { recursive: true, force: true })
  }
}

/** Runs a case. `play` returns a text that says how the rule was broken, or undefined when it held. */
export async function runCase (caseUrl, play) {
  const cell = new Cell(new URL('.', caseUrl).pathname)
  const trouble = process.env.TROUBLE !== '0'
  setTimeout(() => {
    cell.record(`UNABLE the script has run for ${LIMIT_MS} ms`)
    process.exit(VERDICTS.unable)
  }, LIMIT_MS).unref()
  let verdict = VERDICTS.unable
  try {
    const broken = await play(cell, trouble)
    cell.record(broken ? `BROKEN ${broken}` : 'HELD')
    verdict = broken ? VERDICTS.broken : VERDICTS.held
  } catch (err) {
    cell.record(`UNABLE ${err instanceof Unable ? err.message : err.stack}`)
  }
  await cell.close()
  process.exit(verdict)
}

/** Free ports below the range from which the system takes those of outgoing connections, so that none of these is in the way later. */
async function freePorts (count) {
  const ports = new Set()
  while (ports.size < count) {
    const port = PORTS.first + Math.floor(Math.random() * (PORTS.last - PORTS.first))
    if (!taken.has(port) && await isFree(port)) ports.add(port)
  }
  for (const port of ports) taken.add(port)
  return [...ports]
}

function isFree (port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, HOST, () => server.close(() => resolve(true)))
  })
}

function isReady (port) {
  return new Promise(resolve => {
    const req = request({ host: HOST, port, path: '/api/readiness', timeout: 500 }, res => {
      res.resume()
      resolve(res.statusCode === 200)
    })
    req.on('timeout', () => req.destroy())
    req.on('error', () => resolve(false))
    req.end()
  })
}
