/**
 * Options, output and exit codes that all commands share.
 *
 * @module
 */

import { InvalidArgumentError, Option, type Command } from 'commander'
import type Result from 'true-myth/result'
import { ApiClient, ApiError } from 'pomelofold/client/apiClient'
import { CallError } from 'pomelofold/utils/errors'
import type { FileError } from 'pomelofold/utils/jsonFile'

/** Exit codes of `pomelofold`. */
export const EXIT_CODES = {
  ok: 0,
  /** The command ran, but the result is negative, such as a failed request. */
  failed: 1,
  /** An argument, a manifest, a job file or a settings file is invalid. */
  invalid: 2,
  /** The input conflicts with the current state, such as a stale revision or a key that was used before. */
  conflict: 3,
  /** The entry daemon, or a service that it needs, is unreachable. */
  unavailable: 4
} as const

/** One of {@link EXIT_CODES}. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]

/** Options of every command that calls an entry daemon. */
export interface GlobalOptions {
  server: string
  token?: string
  json?: boolean
}

/** Adds the options of every command that calls an entry daemon. */
export function withServerOptions (command: Command): Command {
  return withJsonOption(command)
    .addOption(new Option('--server <url>', 'URL of the entry daemon').env('POMELOFOLD_SERVER').default('http://127.0.0.1:8080').argParser(parseServer))
    .addOption(new Option('--token <token>', 'bearer token; preferably set in the environment').env('POMELOFOLD_TOKEN'))
}

/** Adds `--json`. */
export function withJsonOption (command: Command): Command {
  return command.option('--json', 'print JSON')
}

/** Parses the value of an option that takes a whole number of 0 or more. */
export function parseWholeNumber (text: string): number {
  if (!/^\d{1,15}$/.test(text)) throw new InvalidArgumentError('must be a whole number, 0 or more')
  return Number(text)
}

function parseServer (text: string): string {
  const isHttp = /^https?:\/\/[^/]+\/?$/.test(text) && URL.canParse(text)
  if (!isHttp) throw new InvalidArgumentError('must be a URL such as http://127.0.0.1:8080')
  return text.replace(/\/$/, '')
}

/** Creates a client from the options of a command. */
export function clientOf ({ server, token }: GlobalOptions): ApiClient {
  return new ApiClient({ server, token })
}

/** Prints a value as JSON with `--json`, otherwise as the text that `format` returns. */
export function printValue<T> (value: T, { json }: { json?: boolean }, format: (value: T) => string): void {
  console.log(json ? JSON.stringify(value, null, 2) : format(value))
}

/** Prints an error and sets the matching exit code. */
export function printError (err: CallError | FileError, { json }: { json?: boolean } = {}): void {
  const problem = err instanceof ApiError ? err.problem : undefined
  if (json) console.log(JSON.stringify({ error: problem ?? { detail: err.message } }, null, 2))
  else console.error(`pomelofold: ${err.message}`)
  process.exitCode = exitCodeOf(err)
}

/** Prints the value of a result, or its error with the matching exit code. */
export function printResult<T> (result: Result<T, CallError>, options: { json?: boolean }, format: (value: T) => string): void {
  if (result.isErr) printError(result.error, options)
  else printValue(result.value, options, format)
}

/** Formats rows as a table with aligned columns. */
export function formatTable (header: string[], rows: Array<Array<string | number>>): string {
  const lines = [header, ...rows].map(row => row.map(String))
  const widths = header.map((_, column) => Math.max(...lines.map(line => line[column].length)))
  return lines.map(line => line.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n')
}

const EXIT_CODE_BY_STATUS: Record<number, ExitCode> = {
  400: EXIT_CODES.invalid,
  409: EXIT_CODES.conflict,
  413: EXIT_CODES.invalid,
  431: EXIT_CODES.invalid,
  503: EXIT_CODES.unavailable
}

/** Exit code for an error answer with this HTTP status. */
export function exitCodeOfStatus (status: number): ExitCode {
  return EXIT_CODE_BY_STATUS[status] ?? EXIT_CODES.failed
}

function exitCodeOf (err: CallError | FileError): ExitCode {
  if (err instanceof ApiError) return exitCodeOfStatus(err.problem.status)
  return err instanceof CallError ? EXIT_CODES.unavailable : EXIT_CODES.invalid
}
