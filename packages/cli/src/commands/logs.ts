/**
 * Command `logs explain`: the history of one job or request from the logs of several daemons.
 *
 * @module
 */

import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { Command } from 'commander'
import { EXIT_CODES, printValue, withJsonOption } from '../commandSupport.js'

/** A parsed line of a log. */
interface LogLine {
  time: string
  vm: string
  event: string
  text: string
}

/** Events that affect all jobs: changes of the scheduler, unreachable dependencies, and starts and stops of daemons. */
const CELL_EVENT_PATTERN = /^(leader\.elected|term\.|dependency\.|session\.lapsed|daemon\.(start|stop))/

const LINE_PATTERN = /time=(\S+) level=\S+ vm=(\S+) event=(\S+)(.*)$/

/** Creates the command `logs`. */
export function logsCommand (): Command {
  const command = new Command('logs').description('read the logs of daemons')
  withJsonOption(command.command('explain'))
    .description('print the history of one job or request in the order of time, from the logs of all daemons')
    .argument('<id>', 'id of the job or request')
    .argument('<file...>', 'logs, one or more daemons in each')
    .action(async (id: string, files: string[], options: { json?: boolean }) => {
      const lines = await explainFromLogs(id, files)
      printValue(lines, options, () => lines.map(({ time, vm, event, text }) => `${time}  ${vm.padEnd(20)} ${event.padEnd(24)} ${text}`).join('\n'))
      if (lines.length === 0) process.exitCode = EXIT_CODES.failed
    })
  return command
}

/** Returns the lines that contain the id, and the cell-wide events between the first and the last of them, in the order of time. */
async function explainFromLogs (id: string, files: string[]): Promise<LogLine[]> {
  const matchingLines: LogLine[] = []
  const cellLines: LogLine[] = []
  for (const file of files) {
    for await (const line of createInterface({ input: createReadStream(file) })) {
      const match = LINE_PATTERN.exec(line)
      if (!match) continue
      const [, time, vm, event, text] = match
      if (text.includes(id)) matchingLines.push({ time, vm, event, text: text.trim() })
      else if (CELL_EVENT_PATTERN.test(event)) cellLines.push({ time, vm, event, text: text.trim() })
    }
  }
  const matchingTimes = matchingLines.map(({ time }) => time).sort()
  const cellLinesMeanwhile = cellLines.filter(({ time }) =>
    matchingTimes.length > 0 && time >= matchingTimes[0] && time <= matchingTimes[matchingTimes.length - 1])
  return [...matchingLines, ...cellLinesMeanwhile].sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
}
