import t from 'tap'
import { settingRows, settingsJsonSchema } from 'pomelofold/settings/settingsJsonSchema'
import { readPage } from './pages.js'

t.test('the settings page lists each setting with its meaning, type, unit and default', async t => {
  const page = readPage('docs/SETTINGS.md')
  for (const { path, meaning, type, unit, default: value } of settingRows()) {
    t.ok(page.includes(`| \`${path}\` | ${meaning} | ${type} | ${unit} | ${value ?? ''} |`), `${path} has a row`)
    t.not(meaning, '', `${path} has a meaning`)
  }
})

t.test('the committed JSON schema of the settings is up to date', async t => {
  t.same(JSON.parse(readPage('docs/settings.schema.json')), settingsJsonSchema())
})
