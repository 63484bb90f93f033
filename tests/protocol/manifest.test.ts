/**
 * Tests of the errors for invalid manifests: an operator must be able to find the wrong field from the error.
 */

import t from 'tap'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { fieldFaults } from 'pomelofold/protocol/problem'

t.test('a manifest with an unknown field is refused with its path', async t => {
  const input = { format: 1, services: [{ name: 'readings', expectdMs: 5 }] }
  const parsed = manifestSchema.safeParse(input)
  t.equal(parsed.success, false)
  if (parsed.success) return
  const [fault] = fieldFaults(parsed.error, input)
  t.equal(fault.path, 'services.0')
  t.match(fault.message, /expectdMs/)
})

t.test('a long-running service of an unknown team is refused with the known teams', async t => {
  const input = { format: 1, teams: [{ name: 'growth', quota: { cpus: 1, memoryMb: 1, accelerators: 0 } }], longRunning: [{ name: 'street', team: 'street', replicas: 1, size: { cpus: 1, memoryMb: 1, accelerators: 0 } }] }
  const parsed = manifestSchema.safeParse(input)
  t.equal(parsed.success, false)
  if (parsed.success) return
  const [fault] = fieldFaults(parsed.error, input)
  t.same([fault.path, fault.value], ['longRunning.0.team', 'street'])
  t.match(fault.message, /growth/)
})
