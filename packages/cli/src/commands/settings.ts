/**
 * Command `settings` with `check` and `schema`.
 *
 * @module
 */

import { Command } from 'commander'
import { daemonSettingsSchema } from 'pomelofold/settings/daemonSettings'
import { settingsJsonSchema } from 'pomelofold/settings/settingsJsonSchema'
import { readJsonFile } from 'pomelofold/utils/jsonFile'
import { printError, printValue, withJsonOption } from '../commandSupport.js'

/** Creates the command `settings`. */
export function settingsCommand (): Command {
  const command = new Command('settings').description('check the settings of an entry daemon')
  withJsonOption(command.command('check'))
    .description('check a settings file')
    .argument('<file>', 'settings of pomelofoldd, JSON')
    .action((file: string, options: { json?: boolean }) => {
      const read = readJsonFile(file, daemonSettingsSchema)
      if (read.isErr) return printError(read.error, options)
      printValue({ valid: true, settings: read.value }, options, () => `${file} is valid`)
    })
  withJsonOption(command.command('schema'))
    .description('print the JSON schema of the settings, with or without --json')
    .action(() => console.log(JSON.stringify(settingsJsonSchema(), null, 2)))
  return command
}
