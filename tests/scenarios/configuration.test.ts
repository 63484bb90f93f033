import { runFeature } from './runFeature.js'

runFeature('configuration.feature')
