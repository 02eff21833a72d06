import {Err, Ok, type Result} from '../../shared/result.js';
import type {NumberRange} from './number_range.js';
import {Column} from './column.js';

/** Number within a range. */
export class NumberColumn extends Column<number> {
  override readonly allowed: string;

  constructor(private readonly range: NumberRange) {
    super();
    const kind = range.whole ? 'whole number' : 'number';
    this.allowed = `${kind} from ${range.min} to ${range.max}`;
  }

  override check(value: unknown): Result<number, string> {
    if (typeof value !== 'number' || !Number.isFinite(value)) {
      return Err(`"${String(value)}" is not a number`);
    }
    const {min, max, whole} = this.range;
    if (value < min) return Err(`${value} is too small`);
    if (value > max) return Err(`${value} is too large`);
    if (whole && !Number.isInteger(value)) {
      return Err(`${value} is not a whole number`);
    }
    return Ok(value);
  }

  protected override fromText(text: string): unknown {
    // Number('') is 0, which would turn an empty cell into "unlimited".
    return text === '' || Number.isNaN(Number(text)) ? text : Number(text);
  }
}
