import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import t, { type Test } from 'tap'

function startProgram (t: Test, name: string, settings: object) {
  const file = join(t.testdir(), 'settings.json')
  writeFileSync(file, JSON.stringify(settings))
  const child = spawn(process.execPath, [`packages/standins/dist/bin/${name}.js`, '--settings', file])
  t.teardown(() => child.kill('SIGKILL'))
  return child
}

for (const [name, settings, path] of [
  ['platform', {}, '/vms'],
  ['instance', { vm: 'instance-1' }, '/status'],
  ['worker', { vm: 'worker-1' }, '/control/record']
] as const) {
  t.test(`the ${name} program prints its address, answers requests, and exits with code 0 on SIGTERM`, async t => {
    const child = startProgram(t, name, settings)
    const [line] = await once(createInterface(child.stdout), 'line')
    const address = /address=(\S+)/.exec(line)?.[1]
    t.equal((await fetch(`http://${address}${path}`)).status, 200)
    child.kill('SIGTERM')
    t.same(await once(child, 'exit'), [0, null])
  })
}

t.test('invalid settings are reported by field, and the program exits with code 1', async t => {
  const child = startProgram(t, 'worker', { vm: 'worker-1', cores: 64 })
  let text = ''
  child.stderr.on('data', data => { text += data })
  const [code] = await once(child, 'close')
  t.equal(code, 1)
  t.match(text, /cores/)
})
