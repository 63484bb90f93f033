#!/usr/bin/env node
/**
 * Program that runs the stand-in for the platform's key-value service and list of VMs.
 *
 * Usage: `node packages/standins/dist/bin/platform.js --settings <file>`
 *
 * @module
 */

import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { platformSettingsSchema } from '../platformSettings.js'
import { PlatformStandin } from '../platformStandin.js'
import { runProgram } from './runProgram.js'

await runProgram({
  name: 'platform',
  description: "Stand-in for the platform's key-value service and list of VMs",
  schema: platformSettingsSchema,
  start: settings => new PlatformStandin({ timers: new SystemTimers(), settings })
})
