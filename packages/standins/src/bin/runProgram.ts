/**
 * Main function shared by the stand-in programs: reads the settings file and shuts down on SIGTERM or SIGINT.
 *
 * @module
 */

import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { z } from 'zod'
import { errorText } from 'pomelofold/utils/errors'
import type { Standin } from '../standinServer.js'

/** Description of a stand-in program. */
export interface Program<T extends { address: string }> {
  name: string
  description: string
  /** Validates the settings file. */
  schema: z.ZodType<T>
  start: (settings: T) => Standin
}

/** Runs a stand-in until SIGTERM or SIGINT. Prints one line with its address when it accepts connections. */
export async function runProgram<T extends { address: string }> ({ name, description, schema, start }: Program<T>): Promise<void> {
  const command = new Command(name).description(description)
    .requiredOption('--settings <file>', 'JSON file with the settings')
    .parse()
  try {
    const settings = readSettings(command.opts<{ settings: string }>().settings, schema)
    const standin = start(settings)
    const address = await standin.listen(settings.address)
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => { standin.close().then(() => process.exit(0)) })
    }
    console.log(`event=listening program=${name} address=${address}`)
  } catch (err) {
    command.error(errorText(err))
  }
}

function readSettings<T> (file: string, schema: z.ZodType<T>): T {
  const parsed = schema.safeParse(JSON.parse(readFileSync(file, 'utf8')))
  if (parsed.success) return parsed.data
  throw new Error(`invalid settings in ${file}:\n${z.prettifyError(parsed.error)}`)
}
