import t from 'tap'
import { daemonSettingsSchema } from 'pomelofold/settings/daemonSettings'
import { fieldFaults } from 'pomelofold/protocol/problem'
import { readExample } from '../http/oneEntryCell.js'

const VALID = readExample('daemons/entry-a1.json') as { peers: object[] }
const [FIRST] = VALID.peers

const INVALID_SETTINGS: Array<[string, object, string]> = [
  ['a port above 65535', { http: { address: '127.0.0.1:70000' } }, 'http.address'],
  ['port 0', { http: { address: '127.0.0.1:0' } }, 'http.address'],
  ['an invalid IP number', { platform: { address: '127.0.0.999:2379' } }, 'platform.address'],
  ['a host name', { platform: { address: 'platform:2379' } }, 'platform.address'],
  ['two peers with the same name', { peers: [FIRST, FIRST] }, 'peers.1.vm'],
  ['a VM that is not one of the peers', { vm: 'entry-z1' }, 'vm'],
  ['a failure domain that differs from the one in peers', { failureDomain: 'b' }, 'failureDomain'],
  ['a lease that ends before it is renewed twice', { claims: { leaseMs: 1_000, renewEveryMs: 900 } }, 'claims.renewEveryMs'],
  ['a negative period', { heartbeatMs: -1 }, 'heartbeatMs']
]
for (const [name, change, path] of INVALID_SETTINGS) {
  t.test(`settings with ${name} are refused with the path of the field`, async t => {
    const settings = { ...VALID, ...change }
    const parsed = daemonSettingsSchema.safeParse(settings)
    t.equal(parsed.success, false)
    t.match(fieldFaults(parsed.error!, settings).map(fault => fault.path), [path])
  })
}

for (const address of ['[::1]:8080', 'localhost:8080', '10.0.0.1:65535']) {
  t.test(`${address} is accepted as an address`, async t => {
    t.match(daemonSettingsSchema.safeParse({ ...VALID, http: { address } }), { success: true })
  })
}
