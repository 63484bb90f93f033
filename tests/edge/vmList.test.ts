/**
 * Tests of conditional requests for the platform's list of VMs: an unchanged list must not be sent and decoded again at
 * each read.
 */

import t from 'tap'
import { HttpPlatformClient } from 'pomelofold/edge/httpPlatformClient'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import type { VmRecord } from 'pomelofold/protocol/vms'
import { PlatformStandin } from '@pomelofold/standins/platformStandin'

const vm = (name: string, failureDomain: string): VmRecord => ({ name, kind: 'worker', state: 'live', failureDomain, rack: 'r', address: '127.0.0.1:1' })

t.test('the list of a failure domain is decoded again only when it has changed', async t => {
  const timers = new SystemTimers()
  const standin = new PlatformStandin({ timers, settings: { vms: [vm('w1', 'a'), vm('w2', 'b')], vmLagMs: 0 } })
  const client = new HttpPlatformClient({ address: await standin.listen('127.0.0.1:0'), timers })
  t.teardown(async () => { await client.close(); await standin.close() })
  const names = async () => (await client.listVms({ failureDomain: 'a' })).unwrapOr([]).map(({ name }) => name)
  t.same(await names(), ['w1'])
  const [first, second] = [await client.listVms({ failureDomain: 'a' }), await client.listVms({ failureDomain: 'a' })]
  t.equal(first.unwrapOr(undefined), second.unwrapOr([]), 'the same list, not a copy')
  standin.setVm(vm('w3', 'a'))
  while ((await names()).length < 2) continue
  t.same(await names(), ['w1', 'w3'])
})
