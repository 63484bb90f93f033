import { runFeature } from './runFeature.js'

runFeature('jobs.feature')
