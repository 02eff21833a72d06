/** One option of a command, as cac writes it: `--id <id>`. */
export interface CommandOption {
  flag: string;
  help: string;
}
