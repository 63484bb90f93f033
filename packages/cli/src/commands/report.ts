/**
 * `report`.
 *
 * @module
 */

import { Command } from 'commander'
import { objectiveBurn, type ObjectiveBurn } from 'pomelofold/client/cellStatus'
import { clientOf, finish, table, withServer, type GlobalOptions } from '../context.js'

interface Report {
  objectives: ObjectiveBurn[]
  /** Entry VMs that could not be asked; their requests are missing. */
  unreachable: string[]
}

/** Shows how fast each service-level objective burns its error budget. */
export function reportCommand (): Command {
  return withServer(new Command('report'))
    .description('show the service-level burn of each objective, counted since the start of each entry daemon')
    .action(async (options: GlobalOptions) => {
      const figures = await clientOf(options).figures()
      finish(figures.map((cell): Report => ({ objectives: objectiveBurn(cell), unreachable: cell.unreachable })), options, formatReport)
    })
}

function formatReport ({ objectives, unreachable }: Report): string {
  const header = ['SERVICE', 'CLASS', 'WITHIN MS', 'TARGET', 'MET', 'MISSED', 'ATTAINED', 'BURN RATE']
  const rows = objectives.map(({ service, class: cls, waitMs, target, good, bad, attained, burnRate }) =>
    [service, cls, waitMs, target, good, bad, attained?.toFixed(4) ?? '-', burnRate?.toFixed(2) ?? '-'])
  return [table(header, rows), ...unreachable.map(vm => `cannot be reached, not counted: ${vm}`)].join('\n')
}
