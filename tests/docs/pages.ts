/**
 * Reads documentation pages and their fenced blocks. The info string of a block, such as `sh run`, selects how it is checked.
 *
 * @module
 */

import { execFile } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { REPO } from '../cli/runCli.js'

/** Lines before every script of a page: stop at the first error, define the command line, and end background processes. */
const PRELUDE = `set -eu
pomelofold () { node ${join(REPO, 'packages/cli/dist/pomelofold.js')} "$@"; }
trap 'for pid in $(jobs -p); do kill $pid; done; wait' EXIT`

/** Returns the text of a page. */
export function readPage (page: string): string {
  return readFileSync(join(REPO, page), 'utf8')
}

/** Returns the contents of a page's fenced blocks with this info string. */
export function fencedBlocks (page: string, info: string): string[] {
  return [...readPage(page).matchAll(/^```(.+)\n([\s\S]*?)^```$/gm)].filter(([, found]) => found === info).map(([,, text]) => text)
}

/** Runs a script, which ends at its first failed command. Resolves with its output, or rejects with it when the script fails. */
export function runScript (script: string, { cwd, env = {} }: { cwd: string, env?: Record<string, string> }): Promise<string> {
  return new Promise((resolve, reject) => {
    execFile('bash', ['-c', `${PRELUDE}\n${script}`], { cwd, env: { ...process.env, ...env } }, (err, stdout, stderr) => {
      if (err) reject(new Error(`the script ended with ${err.code}:\n${stdout}\n${stderr}`))
      else resolve(stdout)
    })
  })
}
