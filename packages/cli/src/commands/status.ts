/**
 * Commands `status` and `drain`.
 *
 * @module
 */

import { Command } from 'commander'
import type { CellStatus, EntryVmStatus } from 'pomelofold/client/cellStatus'
import { clientOf, printResult, formatTable, withServerOptions, type GlobalOptions } from '../commandSupport.js'

/** Creates the command `status`, which shows the state of the cell from the point of view of one entry daemon. */
export function statusCommand (): Command {
  return withServerOptions(new Command('status'))
    .description('show the manifest revision in force and the claims of each entry VM, from the point of view of one of them')
    .action(async (options: GlobalOptions) => printResult(await clientOf(options).cellStatus(), options, formatStatus))
}

/** Creates the command `drain`, which makes an entry daemon report not ready and hand over its claims. */
export function drainCommand (): Command {
  return withServerOptions(new Command('drain'))
    .description('make an entry daemon report not ready and hand over its claims; end it with SIGTERM afterwards')
    .action(async (options: GlobalOptions) => printResult(await clientOf(options).drain(), options, () => 'draining; end the daemon with SIGTERM when status shows no claims'))
}

function formatStatus ({ vm, revision, inFlight, entries }: CellStatus): string {
  const header = ['ENTRY VM', 'FAILURE DOMAIN', 'REACHABLE', 'LEAVING', 'REVISION', 'CLAIMS']
  const rows = entries.map(({ claims, ...entry }: EntryVmStatus) =>
    [entry.vm, entry.failureDomain, yesNo(entry.reachable), yesNo(entry.leaving), entry.revision ?? '-', claims ?? '-'])
  return [`seen from ${vm}: revision ${revision} in force, ${inFlight} requests in flight`, formatTable(header, rows)].join('\n')
}

function yesNo (value: boolean): string {
  return value ? 'yes' : 'no'
}
