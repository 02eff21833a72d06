import {Err, Ok, type Result} from '../../shared/result.js';
import {Column} from './column.js';

/** Text that matches a pattern. */
export class TextColumn extends Column<string> {
  constructor(
    private readonly pattern: RegExp,
    override readonly allowed: string,
  ) {
    super();
  }

  override check(value: unknown): Result<string, string> {
    if (typeof value !== 'string') return Err('is not a text');
    if (!this.pattern.test(value)) return Err(`"${value}" is not allowed`);
    return Ok(value);
  }

  protected override fromText(text: string): unknown {
    return text;
  }
}
