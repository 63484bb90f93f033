/**
 * `settings check` and `settings schema`.
 *
 * @module
 */

import { Command } from 'commander'
import { z } from 'zod'
import { daemonSettingsSchema } from 'pomelofold/settings/daemonSettings'
import { readJsonFile } from 'pomelofold/utils/jsonFile'
import { fail, print } from '../context.js'

/** Checks settings files and prints their schema. */
export function settingsCommand (): Command {
  const command = new Command('settings').description('check the settings of an entry daemon')
  command.command('check')
    .description('check a settings file')
    .argument('<file>', 'settings of pomelofoldd, JSON')
    .option('--json', 'print JSON')
    .action((file: string, options: { json?: boolean }) => {
      const read = readJsonFile(file, daemonSettingsSchema)
      if (read.isErr) return fail(read.error, options)
      print({ valid: true, settings: read.value }, options, () => `${file} is valid`)
    })
  command.command('schema')
    .description('print the JSON schema of the settings')
    .action(() => console.log(JSON.stringify(z.toJSONSchema(daemonSettingsSchema, { io: 'input' }), null, 2)))
  return command
}
