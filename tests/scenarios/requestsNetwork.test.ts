import { runFeature } from './runFeature.js'

runFeature('requestsNetwork.feature')
