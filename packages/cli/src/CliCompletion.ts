/** Generates a bash completion script from the registered commands. */
import type { Command } from 'commander';

/** The script offers, after each command path, the subcommands and options that may follow it. */
export function createCompletionScript(program: Command): string {
  const cases = collectCommands(program, [])
    .map(({ path, words }) => `    "${path.join(' ')}") words="${words.join(' ')}" ;;`)
    .join('\n');
  return `_skylarksail() {
  local path="" word words=""
  for word in "\${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in -*) ;; *) path="\${path:+$path }$word" ;; esac
  done
  case "$path" in
${cases}
  esac
  COMPREPLY=( $(compgen -W "$words" -- "\${COMP_WORDS[COMP_CWORD]}") )
}
complete -F _skylarksail skylarksail
`;
}

function collectCommands(
  command: Command,
  path: readonly string[],
): readonly { readonly path: readonly string[]; readonly words: readonly string[] }[] {
  const words = [
    ...command.commands.map((sub) => sub.name()),
    ...command.options.map((option) => option.long ?? option.short ?? ''),
  ];
  return [
    { path, words },
    ...command.commands.flatMap((sub) => collectCommands(sub, [...path, sub.name()])),
  ];
}
