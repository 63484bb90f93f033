/**
 * Commands `validate`, `diff` and `submit`, which take a manifest file.
 *
 * @module
 */

import { Command } from 'commander'
import { manifestSchema, type Manifest } from 'pomelofold/protocol/manifest'
import { readJsonFile } from 'pomelofold/utils/jsonFile'
import { clientOf, EXIT_CODES, printError, printResult, parseWholeNumber, printValue, withJsonOption, withServerOptions, type GlobalOptions } from '../commandSupport.js'

/** One difference between two manifests. */
interface Difference {
  path: string
  from: unknown
  to: unknown
}

/** Creates the command `validate`, which checks a manifest file without an entry daemon. */
export function validateCommand (): Command {
  return withJsonOption(new Command('validate'))
    .description('check a manifest file; needs no entry daemon')
    .argument('<file>', 'manifest, JSON')
    .action((file: string, options: { json?: boolean }) => {
      const read = readJsonFile(file, manifestSchema)
      if (read.isErr) return printError(read.error, options)
      printValue({ valid: true, ...countsOf(read.value) }, options, ({ services, longRunning, teams }) =>
        `${file} is valid: ${services} services, ${longRunning} long-running services, ${teams} teams`)
    })
}

/** Creates the command `diff`, which compares a manifest file with the manifest in force. */
export function diffCommand (): Command {
  return withServerOptions(new Command('diff'))
    .description('show what a manifest file would change; exits with 1 when there are differences')
    .argument('<file>', 'manifest, JSON')
    .action(async (file: string, options: GlobalOptions) => {
      const read = readJsonFile(file, manifestSchema)
      if (read.isErr) return printError(read.error, options)
      const current = await clientOf(options).manifest()
      if (current.isErr) return printError(current.error, options)
      const differences = compare(current.value.manifest, read.value, '')
      printValue({ revision: current.value.revision, differences }, options, formatDifferences)
      if (differences.length) process.exitCode = EXIT_CODES.failed
    })
}

/** Creates the command `submit`, which commits a manifest file. */
export function submitCommand (): Command {
  return withServerOptions(new Command('submit'))
    .description('commit a manifest file that replaces the manifest with the given revision')
    .argument('<file>', 'manifest, JSON')
    .requiredOption('--base-revision <n>', 'revision of the manifest to replace (see status); 0 for the first manifest', parseWholeNumber)
    .action(async (file: string, options: GlobalOptions & { baseRevision: number }) => {
      const read = readJsonFile(file, manifestSchema)
      if (read.isErr) return printError(read.error, options)
      printResult(await clientOf(options).submitManifest(read.value, options.baseRevision), options, ({ revision }) => `committed as revision ${revision}`)
    })
}

function countsOf ({ services, longRunning, teams }: Manifest): { services: number, longRunning: number, teams: number } {
  return { services: services.length, longRunning: longRunning.length, teams: teams.length }
}

/** Returns the differences between two JSON values. Items of lists are matched by their name or class, otherwise by index. */
function compare (from: unknown, to: unknown, path: string): Difference[] {
  if (JSON.stringify(from) === JSON.stringify(to)) return []
  const [fromFields, toFields] = [fieldsOf(from), fieldsOf(to)]
  if (!fromFields || !toFields) return [{ path, from, to }]
  const names = new Set([...Object.keys(fromFields), ...Object.keys(toFields)])
  return [...names].flatMap(name => compare(fromFields[name], toFields[name], path ? `${path}.${name}` : name))
}

function fieldsOf (value: unknown): Record<string, unknown> | undefined {
  if (value === null || typeof value !== 'object') return undefined
  if (!Array.isArray(value)) return value as Record<string, unknown>
  return Object.fromEntries(value.map((item, i) => [item?.name ?? item?.class ?? String(i), item]))
}

function formatDifferences ({ revision, differences }: { revision: number, differences: Difference[] }): string {
  if (differences.length === 0) return `no difference to revision ${revision}`
  const lines = differences.map(({ path, from, to }) => `${path}: ${JSON.stringify(from) ?? '(absent)'} -> ${JSON.stringify(to) ?? '(absent)'}`)
  return [`against revision ${revision}:`, ...lines].join('\n')
}
