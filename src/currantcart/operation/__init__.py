"""Operations that run at most once: payments, deposits, confirmations."""
