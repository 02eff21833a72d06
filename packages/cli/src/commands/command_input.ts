/** Arguments and options of one command line. */
export interface CommandInput {
  /** Positional arguments of the usage line; undefined if absent. */
  args: (string | undefined)[];
  /** Values of the last argument if it is repeatable (`...`). */
  variadicArgs: string[];
  /** Value of an option as given; undefined if absent. */
  option(name: string): string | undefined;
  /** Whether a boolean option is set. */
  flag(name: string): boolean;
}
