/**
 * Runs the built command line in a child process.
 *
 * @module
 */

import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'

/** Root of the repository. */
export const REPO = fileURLToPath(new URL('../../..', import.meta.url))

const PROGRAM = 'packages/cli/dist/pomelofold.js'

/** What a command printed, and its exit code. */
export interface CliResult {
  code: number
  stdout: string
  stderr: string
}

/** Runs one command in the root of the repository. Resolves also when it exits with an error. */
export function runCli (args: string[], env: Record<string, string> = {}): Promise<CliResult> {
  return new Promise(resolve => {
    execFile(process.execPath, [PROGRAM, ...args], { cwd: REPO, env: { ...process.env, ...env } }, (err, stdout, stderr) => {
      resolve({ code: err ? Number(err.code) : 0, stdout, stderr })
    })
  })
}
