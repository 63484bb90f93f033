/**
 * JSON schema of the settings, for editors and for docs/SETTINGS.md.
 *
 * @module
 */

import { z } from 'zod'
import { daemonSettingsSchema } from './daemonSettings.js'

/** The JSON schema of a settings file. */
export function settingsJsonSchema (): z.core.JSONSchema.JSONSchema {
  return z.toJSONSchema(daemonSettingsSchema, { io: 'input' })
}

/** One setting, for a table. */
export interface SettingRow {
  path: string
  meaning: string
  type: string
  /** Empty when the setting has none. */
  unit: string
  /** JSON text of the default; absent when the setting must be given. */
  default?: string
}

type SchemaNode = z.core.JSONSchema.JSONSchema

/** All settings by path. Members of lists are written as `peers[].vm`. */
export function settingRows (): SettingRow[] {
  return rowsOf(settingsJsonSchema(), '')
}

function rowsOf (node: SchemaNode, path: string): SettingRow[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const settingPath = path ? `${path}.${name}` : name
    const schema = child as SchemaNode
    const row = { path: settingPath, meaning: schema.description ?? '', type: typeText(schema), unit: unitOf(name), default: JSON.stringify(schema.default) }
    if (schema.type === 'object') return rowsOf(schema, settingPath)
    return schema.type === 'array' ? [row, ...rowsOf(schema.items as SchemaNode, `${settingPath}[]`)] : [row]
  })
}

/** Units by the last word of a setting's name. */
const UNIT_BY_LAST_WORD: Record<string, string> = { Ms: 'ms', Bytes: 'bytes' }

function unitOf (name: string): string {
  const [word] = /[A-Z][a-z]*$/.exec(name) ?? ['']
  return UNIT_BY_LAST_WORD[word] ?? ''
}

function typeText (node: SchemaNode): string {
  if (node.enum) return node.enum.join(', ')
  if (node.type === 'array') return `list of ${node.minItems ?? 0} to ${node.maxItems ?? 'any number'}`
  return String(node.type)
}
