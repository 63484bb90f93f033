import { runFeature } from './runFeature.js'

runFeature('requestsProcesses.feature')
