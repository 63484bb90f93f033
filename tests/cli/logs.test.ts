/**
 * Guards `logs explain`: it has to find the lines of one id in several logs, also behind a prefix on each line, and only the
 * cell-wide events that fall within the history.
 */

import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { runCli } from './runCli.js'

const LOG_OF_VM_A = `time=2026-01-01T00:00:01.000Z level=info vm=a event=workflow.submitted jobId=00ff outcome=stored
time=2026-01-01T00:00:02.500Z level=info vm=a event=leader.elected epoch=7
time=2026-01-01T00:00:09.000Z level=info vm=a event=leader.elected epoch=8
not a line of a log
`
const LOG_OF_VM_B = `   3.1 node-b time=2026-01-01T00:00:03.000Z level=info vm=b event=run.start task=00ff.0.0.0 attempt=1 worker=w
   1.5 node-b time=2026-01-01T00:00:01.500Z level=info vm=b event=run.start task=00ee.0.0.0 attempt=1 worker=w
`

t.test('the history of a job is collected from several logs, with the cell-wide events in between', async t => {
  const dir = t.testdir()
  const files = [['a.log', LOG_OF_VM_A], ['b.log', LOG_OF_VM_B]].map(([name, text]) => {
    writeFileSync(join(dir, name), text)
    return join(dir, name)
  })
  const { code, stdout } = await runCli(['logs', 'explain', '00ff', ...files, '--json'])
  t.equal(code, 0)
  t.same(JSON.parse(stdout).map((line: { event: string }) => line.event), ['workflow.submitted', 'leader.elected', 'run.start'])
})

t.test('an id that is in no log sets exit code 1', async t => {
  const file = join(t.testdir(), 'a.log')
  writeFileSync(file, LOG_OF_VM_A)
  t.equal((await runCli(['logs', 'explain', 'ffff', file])).code, 1)
})
