import type {Command} from './command.js';
import {ENDPOINT_COMMANDS} from './endpoint_commands.js';
import {ENDPOINTS_LIST} from './endpoints_list.js';
import {EXPLAIN} from './explain.js';
import {GATEWAY_STATUS} from './gateway_status.js';
import {QUARANTINE_LIFT} from './quarantine_lift.js';
import {QUARANTINE_LIST} from './quarantine_list.js';
import {REQUESTS_FIND} from './requests_find.js';
import {SETTINGS_CHECK} from './settings_check.js';
import {STATUS} from './status.js';
import {TABLE_DIFF} from './table_diff.js';
import {TABLE_EDIT} from './table_edit.js';
import {TABLE_EXPORT} from './table_export.js';
import {TABLE_HISTORY} from './table_history.js';
import {TABLE_IMPORT} from './table_import.js';
import {TABLE_REMOVE} from './table_remove.js';
import {TABLE_SET} from './table_set.js';
import {TABLE_SHOW} from './table_show.js';
import {VERSION_COMMAND} from './version.js';

/** Every command, in the order of the help text. */
export const ALL_COMMANDS: Command[] = [
  TABLE_SHOW,
  TABLE_EXPORT,
  TABLE_IMPORT,
  TABLE_DIFF,
  TABLE_SET,
  TABLE_REMOVE,
  TABLE_HISTORY,
  TABLE_EDIT,
  ENDPOINTS_LIST,
  ...ENDPOINT_COMMANDS,
  STATUS,
  GATEWAY_STATUS,
  EXPLAIN,
  QUARANTINE_LIST,
  QUARANTINE_LIFT,
  REQUESTS_FIND,
  SETTINGS_CHECK,
  VERSION_COMMAND,
];
