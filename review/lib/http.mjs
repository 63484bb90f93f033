/**
 * Small HTTP helpers for the stand-ins and the client.
 *
 * @module
 */

import { once } from 'node:events'
import { createServer, request } from 'node:http'

const HOST = '127.0.0.1'

/** Starts a server on the loopback address. An error of a handler ends its connection. */
export async function startServer (port, handle) {
  const server = createServer(async (req, res) => {
    try {
      await handle(req, res)
    } catch (err) {
      res.destroy(err)
    }
  })
  server.listen(port, HOST)
  await once(server, 'listening')
  return server
}

/** Ports below those that systems take for outgoing connections: a stand-in that restarts finds its own port free again. */
const PORTS = { first: 12_000, count: 18_000 }

/** Ports that are free now. */
export async function freePorts (count) {
  const ports = new Set()
  while (ports.size < count) {
    const port = PORTS.first + Math.floor(Math.random() * PORTS.count)
    if (!ports.has(port) && await isFree(port)) ports.add(port)
  }
  return [...ports]
}

async function isFree (port) {
  try {
    const server = await startServer(port, () => {})
    await new Promise(resolve => { server.close(resolve) })
    return true
  } catch {
    // Another process has the port.
    return false
  }
}

export async function readJson (req) {
  const text = Buffer.concat(await req.toArray()).toString()
  return text ? JSON.parse(text) : {}
}

export function respond (res, { status, body = {} }) {
  if (res.destroyed) return
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
}

/** Sends one call on a connection of its own. Status 0 means that no answer arrived. */
export function call (port, method, path, { host = 'cell.example', body, deadlineMs = 3_000, headers = {} } = {}) {
  return new Promise(resolve => {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const all = { host, 'x-pomelofold-deadline-ms': String(deadlineMs), 'content-type': 'application/json', ...headers }
    if (text !== undefined) all['content-length'] = Buffer.byteLength(text)
    const req = request({ host: HOST, port, method, path, headers: all, agent: false, timeout: deadlineMs }, async res => {
      try {
        resolve({ status: res.statusCode, body: await readJson(res) })
      } catch (err) {
        resolve({ status: 0, error: err.message })
      }
    })
    req.on('timeout', () => req.destroy(new Error('no answer in time')))
    req.on('error', err => resolve({ status: 0, error: err.message }))
    req.end(text)
  })
}
