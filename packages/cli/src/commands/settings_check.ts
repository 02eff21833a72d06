import {readFileSync} from 'node:fs';
import {basename} from 'node:path';
import {parseSettings} from '@wisterialadder/runtime/settings/parse_settings.js';
import type {CliError} from '../cli_error.js';
import type {ProgramSettings} from '../program_settings.js';
import {PROGRAMS} from '../programs.js';
import type {Command} from './command.js';
import {
  success,
  failure,
  usageError,
  type CommandResult,
} from './command_result.js';

const PROGRAM_NAMES = PROGRAMS.map(({name}) => name).join(', ');

/** Checks a settings file against the definition of its program. */
export const SETTINGS_CHECK: Command = {
  usage: 'settings check <...files>',
  help: 'Check settings files; the file name tells the program',
  options: [{flag: '--program <name>', help: `One of ${PROGRAM_NAMES}`}],
  examples: [
    'settings check router-amman-1a.ini',
    'settings check vm7.ini --program wl-router',
  ],
  run: (_ctx, {variadicArgs: files, option}) =>
    Promise.resolve(check(files, option('program'))),
};

function check(
  files: readonly string[],
  programName: string | undefined,
): CommandResult {
  const checked: {file: string; program: string}[] = [];
  const errors: CliError[] = [];
  for (const file of files) {
    const program = PROGRAMS.find(({name}) =>
      programName === undefined
        ? isNamedAfter(file, name)
        : name === programName,
    );
    if (!program) {
      const hint = `Add --program with one of ${PROGRAM_NAMES}.`;
      return usageError(`${programName ?? file}: unknown program`, hint);
    }
    errors.push(...settingsErrors(file, program));
    checked.push({file, program: program.name});
  }
  if (errors.length > 0) return failure(...errors);
  return success({
    columns: ['file', 'program', 'result'],
    rows: checked.map(({file, program}) => [file, program, 'ok']),
    notes: [],
    json: {checked},
  });
}

// For example router.ini, wl-router.ini and router-amman-1.ini: wl-router.
function isNamedAfter(file: string, program: string): boolean {
  const short = program.replace(/^wl-/, '');
  const words = basename(file, '.ini').split(/[-_.]/);
  return words.includes(short);
}

function settingsErrors(
  file: string,
  {name, settings}: ProgramSettings,
): CliError[] {
  let content: string;
  try {
    content = readFileSync(file, 'utf8');
  } catch (err) {
    const message = `cannot be read (${(err as Error).message})`;
    const hint = 'Give a file that you may read.';
    return [{exit: 'not_found', message, location: file, hint}];
  }
  const parsed = parseSettings(settings, content, file);
  if (parsed.ok) return [];
  return parsed.val.map(({section, key, problem, allowed}) => ({
    exit: 'invalid',
    message: problem,
    location: `${file}: [${section}] ${key}`,
    hint: `Allowed for ${name}: ${allowed}.`,
  }));
}
