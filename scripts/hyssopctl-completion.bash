# Bash completion of hyssopctl: source this file from ~/.bashrc.
_hyssopctl()
{
    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD - 1]}
    local options="--settings --control --token-file --wait --order-id
        --revision --time-limit --json --svg --check --by --canary --watch --help
        --version"
    local words=""
    case "$before" in
    --settings | --token-file | apply | diff | trace | explain | analyze)
        mapfile -t COMPREPLY < <(compgen -f -- "$word")
        return
        ;;
    contract | service) words="apply get list diff delete" ;;
    move) words="start status cancel" ;;
    instance) words="drain" ;;
    evacuation) words="begin end list" ;;
    inspect) words="members grants streams moves log routes evacuations" ;;
    *) words="contract service move instance evacuation inspect trace explain analyze
        $options" ;;
    esac
    mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}
complete -F _hyssopctl hyssopctl
