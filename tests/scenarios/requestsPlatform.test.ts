import { runFeature } from './runFeature.js'

runFeature('requestsPlatform.feature')
