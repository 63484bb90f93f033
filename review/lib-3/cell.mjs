/**
 * A small deployment for the scripts of this review: daemons, started with the command of the deploy file, and stand-ins of the store
 * and of minions, all as processes on loopback addresses. `close` ends them all.
 */

import { fork, spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const LIB = dirname(fileURLToPath(import.meta.url))
const ROOT = join(LIB, '..', '..')
const [COMMAND, ...ARGS] = /^run = "([^"]*)"/m.exec(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'))[1].split(' ')

export const HOST = 'cell.example'
export const SERVICE = 'huvo'
const ZONES = ['a', 'b', 'c']
/** Figures of a small deployment on the users' pages. */
const BOUNDS = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_stretch_ms: 5000,
  recover_s: 12,
  hold_max_ms: 6000,
  stop_ms: 900,
  gang_ms: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120
}
const HEARTBEAT_MS = 1500
const VALUE_BYTES = 1_048_576
const TTL_MIN_MS = 1000
const MINION_PORT = 8400

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Waits until `condition` holds. Returns whether it did within `ms`. */
export async function until (condition, ms) {
  for (const endMs = Date.now() + ms; Date.now() < endMs; await sleep(50)) if (await condition()) return true
  return false
}

/** Sends one call. Resolves with status and body, or with an error. */
export function call (address, { method, path, body, timeoutMs = 3000, headers }) {
  return new Promise(resolve => {
    const [host, port] = address.split(':')
    const req = request({ host, port, method, path, headers: { host: HOST, 'content-type': 'application/json', 'x-pomelofold-deadline-ms': timeoutMs, ...headers }, agent: false }, async res => {
      const text = Buffer.concat(await res.toArray().catch(() => [])).toString()
      resolve({ status: res.statusCode, body: text ? JSON.parse(text) : undefined })
    })
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer')))
    req.on('error', err => resolve({ status: 0, error: err.message }))
    req.end(body && JSON.stringify(body))
  })
}

const isFree = (host, port) => new Promise(resolve => {
  const server = createServer().once('error', () => resolve(false)).listen(port, host, () => server.close(() => resolve(true)))
})

export class Cell {
  constructor ({ dir }) {
    this.tmp = mkdtempSync(join(tmpdir(), 'review-'))
    this.record = createWriteStream(join(dir, 'record.txt'))
    this.startedMs = Date.now()
    /** Starts and ends as the minions saw them: rows of time, kind, minion, task, run, and how or labels. */
    this.notes = []
    this.daemons = []
    this.minionProcesses = []
    this.processes = new Set()
    this.onNote = undefined
    this.isQuiet = false
    this.isClosed = false
    /** Time after which the platform starts a process that has ended by itself again, in milliseconds; undefined for never. */
    this.restartAfterMs = undefined
  }

  log (...words) {
    this.record.write(`${((Date.now() - this.startedMs) / 1000).toFixed(3)} ${words.join(' ')}\n`)
  }

  /** Starts the store, the minions and the daemons. `minions` has a row of `labels` and `capacity` for each. */
  async start ({ daemons, minions, minionProcesses = 1, routes }) {
    const net = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`
    this.net = net
    const storeHost = `${net}.250`
    this.operator = `${storeHost}:9001`
    if (!await isFree(storeHost, 9001)) throw new Error('the ports are in use')
    const daemonPorts = Array.from({ length: daemons }, (_, index) => 9100 + index)
    await this._fork('store.mjs', { host: storeHost, daemonPorts, operatorPort: 9001, valueBytes: VALUE_BYTES, ttlMinMs: TTL_MIN_MS })
    await this.configure(1, routes)
    const shares = Array.from({ length: minionProcesses }, () => [])
    minions.forEach(({ labels, capacity }, index) => {
      const zone = ZONES[index % ZONES.length]
      shares[index % minionProcesses].push({ id: `i-${index}`, port: MINION_PORT + index, service: SERVICE, zone, labels, capacity })
    })
    for (const share of shares) {
      const child = await this._fork('minions.mjs', { host: `${net}.251`, store: this.operator, minions: share, heartbeatMs: HEARTBEAT_MS, holdMaxMs: BOUNDS.hold_max_ms })
      this.minionProcesses.push({ child, ids: new Set(share.map(({ id }) => id)) })
    }
    for (let index = 0; index < daemons; index++) {
      this.daemons.push({ index, name: `front-${ZONES[index % ZONES.length]}-${index}`, host: `${net}.${index + 1}`, zone: ZONES[index % ZONES.length] })
      this.startDaemon(index)
    }
    const isReady = async ({ host }) => (await call(`${host}:8167`, { method: 'GET', path: '/api/readiness', timeoutMs: 500 })).status === 200
    const areReady = await until(async () => (await Promise.all(this.daemons.map(isReady))).every(ready => ready), 15_000)
    if (!areReady) throw new Error('the daemons do not get ready')
  }

  /** Writes a version of the configuration. Resolves with its confirmation. */
  async configure (version, routes) {
    const config = { version, routes, services: [{ name: SERVICE, health_path: '/health', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: false, spare: false }], limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 } }
    const value = Buffer.from(JSON.stringify(config)).toString('base64')
    const answer = await call(this.operator, { method: 'POST', path: '/api/kv-txn', body: { puts: [{ key: 'op/config', value, lease: 0 }] } })
    this.log('operator: version', version, 'routes', routes.map(({ name }) => name).join(','), 'confirmed', answer.status)
    if (answer.status !== 200) throw new Error('the configuration was not stored')
  }

  startDaemon (index) {
    const daemon = this.daemons[index]
    const { name, host, zone } = daemon
    const path = join(this.tmp, `${name}.conf`)
    writeFileSync(path, [
      `node_name=${name}`, 'role=scheduler', 'machine_class=front', 'serves=front', `ip=${host}`, `zone=${zone}`, 'region=r',
      ...ZONES.map(each => `zones.${each}=r`), `listen_addrs.front=${host}:8161`, `listen_addrs.ready=${host}:8167`,
      'port_range=7720,7735', 'seeds=', 'bootstrap=true', 'limits.cpu_share=0.675', 'limits.cores=1', 'limits.memory_mb=350',
      'limits.max_fds=4100', 'limits.link_mbps=1000.0', 'limits.disk_mb=0', 'discovery=platform', 'entry=vip',
      `heartbeat_ms=${HEARTBEAT_MS}`, ...Object.entries(BOUNDS).map(([bound, value]) => `bounds.${bound}=${value}`), 'orders=call',
      'advice=', `platform.address=${this.net}.250:${9100 + index}`, 'platform.form=kv', 'platform.writes_per_s=400',
      'platform.reads_per_s=2000', 'platform.history_s=20', `platform.value_bytes=${VALUE_BYTES}`, `platform.ttl_min_ms=${TTL_MIN_MS}`
    ].join('\n'))
    const child = spawn(COMMAND, ARGS, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, POMELOFOLD_CONFIG: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.tmp, `${name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    Object.assign(daemon, { process: child, isEnding: false, ownEnds: daemon.ownEnds ?? 0 })
    this.processes.add(child)
    this.log(name, 'starts, process', child.pid)
    child.once('exit', (code, signal) => {
      this.processes.delete(child)
      this.log(name, 'has ended', daemon.isEnding ? 'as told' : 'by itself', ', code', code, 'signal', signal)
      if (daemon.isEnding) return
      daemon.ownEnds++
      if (this.restartAfterMs !== undefined) setTimeout(() => { if (!this.isClosed) this.startDaemon(index) }, this.restartAfterMs)
    })
  }

  /** Sends a signal to a daemon's process and waits for its end. */
  async endDaemon (index, signal) {
    const { name, process: child } = this.daemons[index]
    this.daemons[index].isEnding = true
    this.log(name, 'gets', signal)
    const ended = new Promise(resolve => child.once('exit', resolve))
    child.kill(signal)
    await ended
  }

  /** Number of the daemon that was the last to write to the store under a condition. */
  async lastConditionalWriter () {
    return (await this.storeStatus()).lastConditionalWriter
  }

  async storeStatus () {
    return (await call(this.operator, { method: 'GET', path: '/status' })).body
  }

  /** Sends a client's call to a daemon and writes it to the record. */
  async client (index, method, path, body) {
    const answer = await call(`${this.daemons[index].host}:8161`, { method, path, body })
    if (!this.isQuiet) this.log('client:', method, path, 'to', this.daemons[index].name, body ? JSON.stringify(body).slice(0, 300) : '', '->', answer.status, JSON.stringify(answer.body ?? answer.error))
    return answer
  }

  /** Has a minion crash, lose power, be cut off or carry orders out late; see `minions.mjs`. */
  tellMinion (id, order) {
    this.log('the script tells', id, JSON.stringify(order))
    this.minionProcesses.find(({ ids }) => ids.has(id)).child.send({ id, ...order })
  }

  async close () {
    this.isClosed = true
    for (const daemon of this.daemons) daemon.isEnding = true
    for (const child of this.processes) child.kill('SIGKILL')
    await until(() => this.processes.size === 0, 5_000)
    await new Promise(resolve => this.record.end(resolve))
    if (process.env.KEEP) console.log('logs in', this.tmp)
    else rmSync(this.tmp, { recursive: true })
  }

  async _fork (file, settings) {
    const child = fork(join(LIB, file), [JSON.stringify(settings)], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
    this.processes.add(child)
    child.once('exit', () => this.processes.delete(child))
    child.on('message', ({ notes = [] }) => {
      for (const row of notes) {
        this.notes.push(row)
        if (!this.isQuiet) this.record.write(`${((row[0] - this.startedMs) / 1000).toFixed(3)} minion: ${row.slice(1).join(' ')}\n`)
        this.onNote?.(row)
      }
    })
    await new Promise(resolve => child.once('message', resolve))
    return child
  }
}

/** Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase (dir, play) {
  const cell = new Cell({ dir })
  let code = 2
  try {
    const broken = await play(cell, process.env.TROUBLE !== '0')
    code = broken ? 1 : 0
    const outcome = broken ? `BROKEN: ${broken}` : 'the rule held'
    cell.log(outcome)
    console.log(outcome)
  } catch (err) {
    cell.log('the case could not run:', err.stack)
    console.error('the case could not run:', err.message)
  }
  await cell.close()
  process.exit(code)
}
