/**
 * JSON Schema of the settings file, for editors and for docs/SETTINGS.md.
 *
 * @module
 */

import { z } from 'zod'
import { daemonSettingsSchema } from './daemonSettings.js'

/** Returns the JSON Schema of a settings file. Settings with a default are optional in it. */
export function settingsJsonSchema (): z.core.JSONSchema.JSONSchema {
  return z.toJSONSchema(daemonSettingsSchema, { io: 'input' })
}

/** Description of one setting, for the table in docs/SETTINGS.md. */
export interface SettingRow {
  path: string
  meaning: string
  type: string
  /** Empty for a setting without a unit. */
  unit: string
  /** JSON text of the default; absent for a required setting. */
  default?: string
}

type SchemaNode = z.core.JSONSchema.JSONSchema

/** Returns one row for each setting. The path of a field of a list's items is written as `peers[].vm`. */
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

/** Unit of a setting by the last word of its name. */
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
