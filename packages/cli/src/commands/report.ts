/**
 * Command `report` with `burn`, `placement` and `control`.
 *
 * @module
 */

import { writeFileSync } from 'node:fs'
import { Command } from 'commander'
import { burnReport, type BurnReport, type BurnRow } from 'pomelofold/reports/burnReport'
import { burnPage } from 'pomelofold/reports/burnPage'
import { controlReport, type CellControlFigures, type ControlReport } from 'pomelofold/reports/controlReport'
import { placementReport, RESOURCES, type CellPlacementFigures, type PlacementReport } from 'pomelofold/reports/placementReport'
import { BURN_CAUSES, BURN_WINDOWS } from 'pomelofold/reports/burnTypes'
import { clientOf, EXIT_CODES, printResult, formatTable, withServerOptions, type GlobalOptions } from '../commandSupport.js'

interface BurnOptions extends GlobalOptions {
  html?: string
}

const BURN_TABLE_HEADER = ['SERVICE', 'CLASS', 'WITHIN MS', 'TARGET', 'TEAM', 'BUDGET LEFT', 'REQUESTS LEFT', 'BURN 5M', '1H', '6H', '3D', 'WINDOW', 'ALERT', 'REFUSED', 'LATE', 'FAILED', 'UNKNOWN']

/** Causes of bad requests, in the order of the table's columns. */
const BAD_CAUSES = [BURN_CAUSES.refused, BURN_CAUSES.late, BURN_CAUSES.failed, BURN_CAUSES.unknown]

/** Creates the command `report`. */
export function reportCommand (): Command {
  return new Command('report')
    .description('reports on a cell, from the figures of all entry daemons that can be reached')
    .addCommand(burnCommand(), { isDefault: true })
    .addCommand(placementCommand())
    .addCommand(controlCommand())
}

/** Creates `report placement`, which shows the capacity used on workers and the waiting times of requests. */
function placementCommand (): Command {
  return withServerOptions(new Command('placement'))
    .description('show the capacity used on workers by failure domain, and the waiting times of requests by class')
    .action(async (options: GlobalOptions) => {
      const report = (await clientOf(options).figures()).map(cell => placementReport(cell as CellPlacementFigures))
      printResult(report, options, formatPlacement)
    })
}

function formatPlacement ({ domains, waits, unreachable }: PlacementReport): string {
  const placementRows = domains.map(({ failureDomain, workers, workersInUse, tasks, used, capacity }) =>
    [failureDomain, workers, workersInUse, tasks, ...RESOURCES.map(name => `${used[name]} of ${capacity[name]}`)])
  const waitRows = waits.map(({ class: cls, count, ...times }) =>
    [cls, count, ...[times.p50Ms, times.p99Ms, times.p999Ms, times.maxMs].map(ms => ms.toFixed(1))])
  return [
    formatTable(['FAILURE DOMAIN', 'WORKERS', 'IN USE', 'TASKS', 'CPUS', 'MEMORY MB', 'ACCELERATORS'], placementRows),
    '',
    formatTable(['CLASS', 'REQUESTS', 'WAIT P50 MS', 'P99 MS', 'P99.9 MS', 'MAX MS'], waitRows),
    ...unreachableLines(unreachable)
  ].join('\n')
}

/** Creates `report control`, which shows the resource usage and claims of each entry daemon. */
function controlCommand (): Command {
  return withServerOptions(new Command('control'))
    .description('show processor time, memory and claims of each entry daemon, since its start')
    .action(async (options: GlobalOptions) => {
      const report = (await clientOf(options).figures()).map(cell => controlReport(cell as CellControlFigures))
      printResult(report, options, formatControl)
    })
}

function formatControl ({ daemons, unreachable }: ControlReport): string {
  const rows = daemons.map(({ vm, cpuShare, residentMb, upSeconds, claims, mapWrites, takeovers }) =>
    [vm, `${(cpuShare * 100).toFixed(1)}%`, residentMb.toFixed(0), upSeconds.toFixed(0), claims, mapWrites, takeovers])
  return [
    formatTable(['ENTRY VM', 'OF A CORE', 'RESIDENT MB', 'UP S', 'CLAIMS', 'MAP WRITES', 'TAKEOVERS'], rows),
    ...unreachableLines(unreachable)
  ].join('\n')
}

function unreachableLines (unreachable: string[]): string[] {
  return unreachable.map(vm => `cannot be reached, not counted: ${vm}`)
}

/** Creates `report burn`, which shows how fast the error budget of each objective is spent. */
function burnCommand (): Command {
  return withServerOptions(new Command('burn'))
    .description('show the error budget, burn rates and causes of each objective, by team')
    .option('--html <file>', 'write the report as an HTML page too')
    .action(async ({ html, ...options }: BurnOptions) => {
      const report = (await clientOf(options).figures()).map(burnReport)
      if (html !== undefined && report.isOk && !writePage(html, report.value)) return
      printResult(report, options, formatBurn)
    })
}

function writePage (file: string, report: BurnReport): boolean {
  try {
    writeFileSync(file, burnPage(report))
    return true
  } catch (err) {
    console.error(`pomelofold: ${(err as Error).message}`)
    process.exitCode = EXIT_CODES.invalid
    return false
  }
}

/** Formats the burn report as a table. */
function formatBurn ({ objectives, unreachable }: BurnReport): string {
  return [formatTable(BURN_TABLE_HEADER, objectives.map(burnTableRow)), ...unreachableLines(unreachable)].join('\n')
}

function burnTableRow (row: BurnRow): Array<string | number> {
  const { service, class: cls, waitMs, target, team, budgetLeft, requestsLeft, burnRates, alert, windows } = row
  const rates = Object.values(BURN_WINDOWS).map(window => burnRates[window]?.toFixed(2) ?? '-')
  const budgetText = budgetLeft === undefined ? '-' : `${(budgetLeft * 100).toFixed(1)}%`
  return [service, cls, waitMs, target, team || '-', budgetText, requestsLeft.toFixed(1), ...rates, alert, ...BAD_CAUSES.map(cause => windows.objective[cause])]
}
