/** Process settings, the declarative file, and the changes from one configuration to the next. */
export * from './address.js'
export * from './config-error.js'
export * from './deployment-file.js'
export * from './plan.js'
export * from './settings.js'
