/** Arguments and options that the person typed. */
export interface CommandInput {
  /** In the order of the usage line; absent ones are undefined. */
  args: (string | undefined)[];
  /** Arguments of the last, repeatable place. */
  rest: string[];
  /** Text of an option; undefined if it was not given. */
  text(name: string): string | undefined;
  flag(name: string): boolean;
}
