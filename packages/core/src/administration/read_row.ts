import {Err, Ok, type Result} from '../shared/result.js';
import type {TableRow} from '../types/table_row.js';
import type {RowFault} from './row_fault.js';
import {columnsOf, isRowType, ROW_TYPES} from './columns/row_type.js';
import type {RowProposal} from './row_proposal.js';

/** Parses a proposal column by column; reports every fault. */
export function readRow(proposal: RowProposal): Result<TableRow, RowFault[]> {
  const {type, source} = proposal;
  if (!isRowType(type)) {
    const problem = `"${type}" is not a row type; use ${ROW_TYPES.join(', ')}`;
    return Err([{column: 'type', code: 'unknown_type', problem}]);
  }
  const given: Record<string, unknown> = {
    ...proposal.values,
    name: proposal.name,
  };
  const columns = columnsOf(type);
  const faults = unknownColumns(
    given,
    columns.map(([name]) => name),
  );
  const row: Record<string, unknown> = {type};
  for (const [column, rule] of columns) {
    const value = Object.hasOwn(given, column) ? given[column] : undefined;
    if (value === undefined) {
      const problem = `is missing; allowed: ${rule.allowed}`;
      faults.push({column, code: 'missing', problem});
      continue;
    }
    const parsed =
      source === 'text' ? rule.parse(String(value)) : rule.check(value);
    if (parsed.ok) row[column] = parsed.val;
    else {
      const problem = `${parsed.val}; allowed: ${rule.allowed}`;
      faults.push({column, code: 'not_allowed', problem});
    }
  }
  if (faults.length > 0) return Err(faults);
  return Ok(row as unknown as TableRow);
}

function unknownColumns(
  given: Record<string, unknown>,
  known: string[],
): RowFault[] {
  return Object.keys(given)
    .filter(column => !known.includes(column))
    .map(column => ({
      column,
      code: 'unknown_column',
      problem: `is not a column; use ${known.join(', ')}`,
    }));
}
