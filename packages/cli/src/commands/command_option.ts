/** One option of a command; `flag` in the syntax of cac: `--id <id>`. */
export interface CommandOption {
  flag: string;
  help: string;
}
