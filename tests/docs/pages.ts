/**
 * Reads pages and their fenced blocks. The info string of a block says how it is checked, such as `sh run`.
 *
 * @module
 */

import { execFile } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { REPO } from '../cli/runCli.js'

/** Lines that every script of a page starts with. */
const PRELUDE = `set -eu
pomelofold () { node ${join(REPO, 'packages/cli/dist/pomelofold.js')} "$@"; }
trap 'for pid in $(jobs -p); do kill $pid; done; wait' EXIT`

/** The text of a page. */
export function readPage (page: string): string {
  return readFileSync(join(REPO, page), 'utf8')
}

/** The fenced blocks of a page with this info string. */
export function fencedBlocks (page: string, info: string): string[] {
  return [...readPage(page).matchAll(/^```(.+)\n([\s\S]*?)^```$/gm)].filter(([, found]) => found === info).map(([,, text]) => text)
}

/** Runs a script that ends at its first failed command. Rejects with its output when it fails. */
export function runScript (script: string, { cwd, env = {} }: { cwd: string, env?: Record<string, string> }): Promise<string> {
  return new Promise((resolve, reject) => {
    execFile('bash', ['-c', `${PRELUDE}\n${script}`], { cwd, env: { ...process.env, ...env } }, (err, stdout, stderr) => {
      if (err) reject(new Error(`the script ended with ${err.code}:\n${stdout}\n${stderr}`))
      else resolve(stdout)
    })
  })
}
