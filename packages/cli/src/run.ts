/** Parses the command line, shows help, and runs the command that was given. */
import { readFileSync } from 'node:fs'
import { Address } from '@pimentotally/config'
import yargs, { type Argv } from 'yargs'
import * as commands from './commands.js'
import type { CommandContext } from './commands.js'
import { HostConnections } from './connection.js'
import { ExitCode } from './exit-code.js'
import { CliFailure, usageFailure } from './failure.js'
import type { CliEnvironment } from './output.js'

const credentialVariable = 'PIMENTOTALLY_CREDENTIAL'

interface ConnectionArguments {
  readonly address?: string[] | undefined
  readonly credentialFile?: string | undefined
}

/** Reads the operator's credential. It is no argument, as other users of the machine can see command lines. */
const readCredential = ({ credentialFile }: ConnectionArguments, { env }: CliEnvironment): string => {
  if (credentialFile === undefined) {
    const credential = env[credentialVariable] ?? ''
    if (credential !== '') return credential
    throw usageFailure('no credential', `give --credential-file or set ${credentialVariable}`)
  }
  try {
    return readFileSync(credentialFile, 'utf8').trim()
  } catch (error) {
    throw usageFailure(
      `credential.read (${credentialFile}): ${error instanceof Error ? error.message : String(error)}`,
    )
  }
}

const openConnections = (args: ConnectionArguments, environment: CliEnvironment): HostConnections => {
  const addresses = args.address ?? []
  if (addresses.length === 0)
    throw usageFailure('no address', "give --address with a host's operator address")
  const invalid = addresses.find((address) => Address.parse(address) === undefined)
  if (invalid !== undefined)
    throw usageFailure(`"${invalid}" is not an IP address with a port, like 127.0.0.1:7003`)
  return new HostConnections({
    addresses,
    credential: readCredential(args, environment),
    note: (text) => {
      environment.err(`note: ${text}`)
    },
  })
}

/** A command that has been parsed and is ready to run. */
type Action = (context: CommandContext) => ExitCode | Promise<ExitCode>
/** Records the command that was given; it runs when the whole command line has been parsed. */
type Select = (args: ConnectionArguments & { readonly json?: boolean | undefined }, action: Action) => void

const jsonOption = <T>(parser: Argv<T>) =>
  parser.option('json', { type: 'boolean', default: false, describe: 'Print JSON' })

const connectionOptions = <T>(parser: Argv<T>) =>
  jsonOption(parser)
    .option('address', {
      type: 'string',
      array: true,
      nargs: 1,
      describe: "IP address and port of a host's operator listener; repeat to give more, tried in this order",
    })
    .option('credential-file', {
      type: 'string',
      describe: `File with the operator's credential; without it ${credentialVariable} is read`,
    })

const limitOption = { type: 'number', default: 20, describe: 'Newest entries to show, at most 1000' } as const
const requiredText = { type: 'string', demandOption: true } as const

const fileCommands = (parser: Argv, select: Select): Argv =>
  parser
    .command(
      'validate <file>',
      'Check a declarative file without sending it',
      (command) =>
        jsonOption(command.positional('file', { ...requiredText, describe: 'Declarative file' })).option(
          'settings',
          {
            type: 'string',
            describe: 'Process settings of a host, checked together with the file',
          },
        ),
      (args) => {
        select(args, (context) => commands.validate(context, args.file, args.settings))
      },
    )
    .command(
      'plan <file>',
      'Show what an apply would change',
      (command) =>
        connectionOptions(command.positional('file', { ...requiredText, describe: 'Declarative file' })),
      (args) => {
        select(args, (context) => commands.plan(context, args.file))
      },
    )
    .command(
      'apply <file>',
      'Put a declarative file in force, as a whole or not at all',
      (command) =>
        connectionOptions(
          command.positional('file', { ...requiredText, describe: 'Declarative file' }),
        ).option('base-version', { type: 'number', describe: 'Refuse when this is not the newest version' }),
      (args) => {
        const { baseVersion } = args
        if (baseVersion !== undefined && !(Number.isInteger(baseVersion) && baseVersion >= 0)) {
          throw usageFailure('--base-version must be a version number')
        }
        select(args, (context) => commands.apply(context, args.file, baseVersion))
      },
    )

const viewCommands = (parser: Argv, select: Select): Argv =>
  parser
    .command(
      'explain <request-id>',
      "Explain a request from the daemons' logs, on standard input or in a file",
      (command) =>
        jsonOption(
          command.positional('request-id', {
            ...requiredText,
            describe: 'Id of the request, as its caller sent it',
          }),
        ).option('logs', { type: 'string', default: '/dev/stdin', describe: 'File with log lines' }),
      (args) => {
        select({ json: args.json }, (context) => commands.explain(context, args.requestId, args.logs))
      },
    )
    .command('status', 'Show a host and what it knows of the others', connectionOptions, (args) => {
      select(args, commands.status)
    })
    .command(
      'targets',
      'Show targets with their state and load',
      (command) =>
        connectionOptions(command).option('service', { type: 'string', describe: 'Only this service' }),
      (args) => {
        select(args, (context) => commands.targets(context, args.service))
      },
    )
    .command(
      'owners <service> <key>',
      'Show the owner of a key',
      (command) =>
        connectionOptions(
          command
            .positional('service', { ...requiredText, describe: 'Name of a keyed service' })
            .positional('key', { ...requiredText, describe: 'Key as it stands in the request' }),
        ),
      (args) => {
        select(args, (context) => commands.owners(context, args.service, args.key))
      },
    )
    .command(
      'history',
      'Show accepted versions, newest first',
      (command) =>
        connectionOptions(command)
          .option('limit', limitOption)
          .option('write-id', { type: 'string', describe: 'Only the version that this write produced' }),
      (args) => {
        select(args, (context) => commands.history(context, args.limit, args.writeId))
      },
    )
    .command(
      'audit',
      'Show changes, refusals and rejected credentials, newest first',
      (command) => connectionOptions(command).option('limit', limitOption),
      (args) => {
        select(args, (context) => commands.audit(context, args.limit))
      },
    )

const nameArgument = (describe: string) => ({ ...requiredText, describe }) as const

const changeCommands = (parser: Argv, select: Select): Argv =>
  parser
    .command('domain', 'Take failure domains out or in', (domain) =>
      domain
        .command(
          'out <name>',
          'Take a failure domain out of service',
          (command) =>
            connectionOptions(command.positional('name', nameArgument('Failure domain')))
              .option('lost', {
                type: 'boolean',
                default: false,
                describe: 'All its hosts and targets are stopped, so its keys may be owned elsewhere at once',
              })
              .option('yes', { type: 'boolean', default: false, describe: 'Confirm --lost' }),
          (args) => {
            if (args.lost && !args.yes) {
              throw usageFailure(
                '--lost moves keys without waiting for their owners',
                'confirm with --yes that all hosts and targets of the domain are stopped',
              )
            }
            select(args, (context) => commands.setDomain(context, args.name, args.lost ? 'lost' : 'out'))
          },
        )
        .command(
          'in <name>',
          'Take a failure domain back into service',
          (command) => connectionOptions(command.positional('name', nameArgument('Failure domain'))),
          (args) => {
            select(args, (context) => commands.setDomain(context, args.name, 'in'))
          },
        )
        .demandCommand(1, 'domain needs a command: out or in'),
    )
    .command('target', 'Drain targets', (target) =>
      target
        .command(
          'drain <name>',
          'Give a target no new work',
          (command) => connectionOptions(command.positional('name', nameArgument('Target'))),
          (args) => {
            select(args, (context) => commands.setTarget(context, args.name, true))
          },
        )
        .command(
          'undrain <name>',
          'Give a target work again',
          (command) => connectionOptions(command.positional('name', nameArgument('Target'))),
          (args) => {
            select(args, (context) => commands.setTarget(context, args.name, false))
          },
        )
        .demandCommand(1, 'target needs a command: drain or undrain'),
    )
    .command('blocked', 'Requests that crashed targets', (blocked) =>
      blocked
        .command('list', 'Show blocked requests', connectionOptions, (args) => {
          select(args, commands.blockedList)
        })
        .command(
          'release <id>',
          'Let a blocked request run again',
          (command) => connectionOptions(command.positional('id', nameArgument('Identity as listed'))),
          (args) => {
            select(args, (context) => commands.blockedRelease(context, args.id))
          },
        )
        .demandCommand(1, 'blocked needs a command: list or release'),
    )

const exitCodeHelp = `Exit codes:
  0  done
  1  refused or invalid
  2  usage
  3  conflict with another change
  4  no host could be reached
  5  outcome unknown`

/** Commands that have commands of their own. */
const commandGroups = new Set(['domain', 'target', 'blocked'])

/** A usage failure whose remedy names the help of the command that was given. */
const usageFailureWithCommandHelp = (argv: readonly string[], message: string): CliFailure => {
  const option = argv.findIndex((word) => word.startsWith('-'))
  const words = argv.slice(0, option < 0 ? argv.length : option)
  const known = message.startsWith('Unknown command')
    ? []
    : words.slice(0, commandGroups.has(words[0] ?? '') ? 2 : 1)
  return usageFailure(
    message.startsWith('Not enough non-option arguments') ? 'an argument is missing' : message,
    `see ${['pimentotally', ...known, '--help'].join(' ')}`,
  )
}

/** Runs the command of `argv` and resolves to its exit code; never rejects. */
export const run = async (argv: readonly string[], environment: CliEnvironment): Promise<ExitCode> => {
  let chosen: (() => ExitCode | Promise<ExitCode>) | undefined
  const select: Select = (args, action) => {
    chosen = () =>
      action({ environment, json: args.json ?? false, connect: () => openConnections(args, environment) })
  }
  const parser = [fileCommands, viewCommands, changeCommands].reduce(
    (built, add) => add(built, select),
    yargs()
      .scriptName('pimentotally')
      .usage('$0 <command>')
      .locale('en')
      .strictCommands()
      .strict()
      .demandCommand(1, 'a command is needed')
      .version(false)
      .help()
      .epilogue(exitCodeHelp)
      .exitProcess(false)
      .fail((message: string | null, error: Error | undefined) => {
        throw error ?? usageFailureWithCommandHelp(argv, message ?? 'wrong arguments')
      }),
  )
  const fail = (error: unknown, otherwise: (message: string) => CliFailure): ExitCode => {
    const failure =
      error instanceof CliFailure ? error : otherwise(error instanceof Error ? error.message : String(error))
    environment.err(failure.format())
    return failure.exitCode
  }
  try {
    await parser.parseAsync([...argv], {}, (_error: unknown, _args: unknown, output: string) => {
      if (output !== '') environment.out(output)
    })
  } catch (error) {
    return fail(error, usageFailure)
  }
  try {
    // No command is chosen when only help was shown.
    return chosen === undefined ? ExitCode.done : await chosen()
  } catch (error) {
    return fail(error, (message) => {
      const remedy = 'report this as a bug of pimentotally'
      return new CliFailure(message, { exitCode: ExitCode.refused, code: 'internal', remedy })
    })
  }
}
