import {Err, Ok, type Result} from '../../shared/result.js';
import {Column} from './column.js';

/** True or false in any case, as spreadsheets write it. */
export class FlagColumn extends Column<boolean> {
  override readonly allowed = 'true or false';

  override check(value: unknown): Result<boolean, string> {
    if (typeof value === 'boolean') return Ok(value);
    return Err(`"${String(value)}" is not allowed`);
  }

  protected override fromText(text: string): unknown {
    const word = text.toLowerCase();
    if (word === 'true') return true;
    return word === 'false' ? false : text;
  }
}
